#pragma once

#include "entry/Dispatcher.h"
#include "entry/EntryOptions.h"
#include "entry/RoutedRequest.h"
#include "entry/Router.h"

#include <memory>
#include <string>

namespace cranberryreel::entry
{

/// Serves the operators' routes: views, spans, draining of VMs and changes of group members. Owned by the EntryServer; any thread.
class OperatorHandlers
{
public:
    OperatorHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher);

    void addRoutes(Router &router);

private:
    void respondView(const RoutedRequest &routed, const std::string &viewName);
    void explain(const RoutedRequest &routed);
    void respondSpans(const RoutedRequest &routed);
    void drain(const RoutedRequest &routed);
    void changeMembers(const RoutedRequest &routed);

    const EntryOptions &options;
    std::shared_ptr<Dispatcher> dispatcher;
};

} // namespace cranberryreel::entry
