#pragma once

#include "entry/Dispatcher.h"
#include "entry/EntryOptions.h"
#include "entry/HomeZone.h"
#include "entry/OpenSubmissions.h"
#include "entry/RoutedRequest.h"
#include "entry/Router.h"
#include "entry/WaitingLookups.h"
#include "observe/Trace.h"

#include <atomic>
#include <functional>
#include <memory>

namespace cranberryreel::entry
{

/// Serves the callers' routes: submit, look up and cancel work, and fetch its answer. Owned by the EntryServer; any thread.
class WorkHandlers
{
public:
    WorkHandlers(const EntryOptions &entryOptions, std::shared_ptr<Dispatcher> workDispatcher);

    void addRoutes(Router &router);

    /// From now on refuses new work as not run and answers lookups with the current state, including the lookups that already wait.
    void refuseNewWork();

    /// Answers every caller that still waits for the outcome of a submission with the state unknown and the id to look up later.
    void answerOpenSubmissionsAsUnknown();

private:
    using Continuation = std::function<void(DispatchReply, std::shared_ptr<observe::Span>)>;
    struct Lookup;

    void submitRequest(const RoutedRequest &routed);
    void submitJob(const RoutedRequest &routed);
    void submit(const RoutedRequest &routed, model::JobSpec spec, const char *spanName, unsigned int status);
    void lookup(const RoutedRequest &routed);
    void cancel(const RoutedRequest &routed);
    void respondWithAnswer(const RoutedRequest &routed);

    /// Looks the work up and passes it to `next` only if the caller may access it; answers NotFound otherwise.
    void lookUpAccessible(const RoutedRequest &routed, std::chrono::milliseconds wait, const char *spanName, Continuation next);
    std::chrono::milliseconds waitParameter(const RoutedRequest &routed) const;

    const EntryOptions &options;
    HomeZone homeZone;
    std::shared_ptr<Dispatcher> dispatcher;
    std::atomic<bool> refusingNewWork{false};
    std::shared_ptr<WaitingLookups> waitingLookups = std::make_shared<WaitingLookups>(); ///< Shared with callbacks that may run after a stop.
    std::shared_ptr<OpenSubmissions> openSubmissions = std::make_shared<OpenSubmissions>(); ///< Shared with callbacks that may run after a stop.
};

} // namespace cranberryreel::entry
