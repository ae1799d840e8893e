#pragma once

#include "replication/LogStore.h"

#include "cranberryreel/base/Clock.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>

namespace cranberryreel::replication
{

/// Runs the calls to a log store on a thread of its own, so that the group's thread can answer its callers while a disk does not return. Owned by the
/// GroupRunner and used by one thread at a time. Destroyed during a call, it leaves the thread and the store behind; the call must own what it uses.
class StorageThread
{
public:
    using Call = std::function<void(LogStore &store)>;

    explicit StorageThread(std::unique_ptr<LogStore> store);
    ~StorageThread();

    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    /// Starts the call. The previous one must have been finished.
    void start(Call call);

    /// Waits until the call has ended; false if it has not at `until`.
    bool awaitEnd(base::SteadyTime until);

    /// Takes the outcome of a call that has ended: rethrows what it threw.
    void finish();

private:
    struct Shared;

    static void run(const std::shared_ptr<Shared> &shared);

    std::shared_ptr<Shared> shared;
};

} // namespace cranberryreel::replication
