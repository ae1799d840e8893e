#pragma once

#include "entry/Call.h"
#include "entry/Dispatcher.h"
#include "entry/EntryOptions.h"
#include "entry/HomeZone.h"
#include "entry/OpenSubmissions.h"
#include "entry/OpenWaits.h"
#include "entry/Router.h"
#include "observe/Trace.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cranberryreel::entry
{

/// Callers' routes: submit, look up, cancel, fetch an answer. Owned by the EntryServer; any thread.
class WorkHandlers
{
public:
    WorkHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher);

    void addRoutes(Router &router);

    /// From now on new work is refused as not run, and lookups are answered with the state as it is, those that wait already too.
    void refuseNewWork();

    /// Tells every caller that still waits for the outcome of a submission that it is unknown, and the id to ask after.
    void answerOpenAsUnknown();

private:
    using Next = std::function<void(DispatchReply, std::shared_ptr<observe::Span>)>;
    struct Lookup;

    void submitRequest(const Call &call);
    void submitJob(const Call &call);
    void submit(const Call &call, model::JobSpec spec, const char *hop, unsigned int status);
    void lookup(const Call &call);
    void cancel(const Call &call);
    void answer(const Call &call);

    /// Looks the work up and goes on with it only where the caller may see it.
    void withOwnWork(const Call &call, std::chrono::milliseconds wait, const char *hop, Next next);
    std::chrono::milliseconds waitOf(const Call &call) const;

    const EntryOptions &options;
    HomeZone homeZone;
    std::shared_ptr<Dispatcher> dispatcher;
    std::atomic<bool> refusing{false};
    std::shared_ptr<OpenWaits> waits = std::make_shared<OpenWaits>(); ///< Shared likewise.
    std::shared_ptr<OpenSubmissions> open = std::make_shared<OpenSubmissions>(); ///< Shared with callbacks that may come after a stop.
};

} // namespace cranberryreel::entry
