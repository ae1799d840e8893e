#pragma once

#include "config/ConfigService.h"
#include "entry/Call.h"
#include "entry/Router.h"

#include <memory>

namespace cranberryreel::entry
{

/// Operators' changes of the configuration and what is in force. Owned by the EntryServer; any thread.
class ConfigHandlers
{
public:
    explicit ConfigHandlers(std::shared_ptr<config::ConfigService> configuration);

    void addRoutes(Router &router);

private:
    void change(const Call &call, config::ChangePart part);
    void current(const Call &call);
    void status(const Call &call);

    std::shared_ptr<config::ConfigService> config;
};

} // namespace cranberryreel::entry
