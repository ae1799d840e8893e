#pragma once

#include "config/ConfigService.h"
#include "entry/RoutedRequest.h"
#include "entry/Router.h"

#include <memory>

namespace cranberryreel::entry
{

/// Serves the operators' configuration routes: change the register or the rules, read the configuration in force, list the revision of each VM. Owned by the
/// EntryServer; any thread.
class ConfigHandlers
{
public:
    explicit ConfigHandlers(std::shared_ptr<config::ConfigService> configuration);

    void addRoutes(Router &router);

private:
    void applyChange(const RoutedRequest &routed, config::ChangePart part);
    void respondCurrent(const RoutedRequest &routed);
    void respondStatus(const RoutedRequest &routed);

    std::shared_ptr<config::ConfigService> config;
};

} // namespace cranberryreel::entry
