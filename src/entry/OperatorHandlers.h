#pragma once

#include "entry/Call.h"
#include "entry/Dispatcher.h"
#include "entry/EntryOptions.h"
#include "entry/Router.h"

#include <memory>
#include <string>

namespace cranberryreel::entry
{

/// Operators' views and switches. Owned by the EntryServer; any thread.
class OperatorHandlers
{
public:
    OperatorHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher);

    void addRoutes(Router &router);

private:
    void view(const Call &call, const std::string &what);
    void explain(const Call &call);
    void spans(const Call &call);
    void drain(const Call &call);
    void changeMembers(const Call &call);

    const EntryOptions &options;
    std::shared_ptr<Dispatcher> dispatcher;
};

} // namespace cranberryreel::entry
