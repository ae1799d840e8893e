#include "replication/StorageThread.h"

#include <absl/base/thread_annotations.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cassert>
#include <exception>
#include <thread>
#include <utility>

namespace cranberryreel::replication
{

/// Outlives the StorageThread while a call runs.
struct StorageThread::Shared {
    std::unique_ptr<LogStore> store;
    std::thread thread; ///< Used by the owner only.
    absl::Mutex mutex;
    Call call ABSL_GUARDED_BY(mutex);
    bool running ABSL_GUARDED_BY(mutex) = false; ///< Set from start() until the call has ended.
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::exception_ptr error ABSL_GUARDED_BY(mutex);

    bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return this->running || this->stopping;
    }

    bool isIdle() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return !this->running;
    }
};

StorageThread::StorageThread(std::unique_ptr<LogStore> store)
    : shared(std::make_shared<Shared>())
{
    this->shared->store = std::move(store);
    if (this->shared->store->mayBlock()) {
        this->shared->thread = std::thread([owned = this->shared] { StorageThread::run(owned); });
    }
}

StorageThread::~StorageThread()
{
    if (!this->shared->thread.joinable()) {
        return;
    }
    bool running = false;
    {
        const absl::MutexLock lock(&this->shared->mutex);
        this->shared->stopping = true;
        running = this->shared->running;
    }
    if (running) {
        this->shared->thread.detach();
    } else {
        this->shared->thread.join();
    }
}

void StorageThread::start(Call call)
{
    if (!this->shared->thread.joinable()) {
        call(*this->shared->store);
        return;
    }
    const absl::MutexLock lock(&this->shared->mutex);
    assert(!this->shared->running);
    this->shared->call = std::move(call);
    this->shared->running = true;
}

bool StorageThread::awaitEnd(base::SteadyTime until)
{
    const auto limit = std::max(until - base::steadyNow(), base::SteadyTime::duration::zero());
    const absl::MutexLock lock(&this->shared->mutex);
    return this->shared->mutex.AwaitWithTimeout(absl::Condition(this->shared.get(), &Shared::isIdle), absl::FromChrono(limit));
}

void StorageThread::finish()
{
    std::exception_ptr error;
    {
        const absl::MutexLock lock(&this->shared->mutex);
        assert(!this->shared->running);
        error = std::exchange(this->shared->error, nullptr);
    }
    if (error) {
        std::rethrow_exception(error);
    }
}

void StorageThread::run(const std::shared_ptr<Shared> &shared)
{
    while (true) {
        Call call;
        {
            const absl::MutexLock lock(&shared->mutex);
            shared->mutex.Await(absl::Condition(shared.get(), &Shared::hasWork));
            if (!shared->running) {
                return;
            }
            call = std::move(shared->call);
        }
        std::exception_ptr error;
        try {
            call(*shared->store);
        } catch (...) {
            error = std::current_exception();
        }
        call = nullptr;
        const absl::MutexLock lock(&shared->mutex);
        shared->error = error;
        shared->running = false;
    }
}

} // namespace cranberryreel::replication
