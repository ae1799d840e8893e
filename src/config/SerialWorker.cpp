#include "config/SerialWorker.h"

#include <absl/time/clock.h>

namespace cranberryreel::config
{

namespace
{

constexpr std::chrono::minutes IdleWait{1};

} // namespace

SerialWorker::SerialWorker()
    : thread([this] { this->run(); })
{
}

SerialWorker::~SerialWorker()
{
    this->stop();
}

void SerialWorker::post(Task task)
{
    this->postAfter(std::chrono::milliseconds(0), std::move(task));
}

void SerialWorker::postAfter(std::chrono::milliseconds delay, Task task)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->stopping) {
        this->tasks.emplace(base::steadyNow() + delay, std::move(task));
    }
}

void SerialWorker::stop()
{
    std::multimap<base::SteadyTime, Task> dropped; // Destroyed without the lock: what a task holds may post again.
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        dropped.swap(this->tasks);
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void SerialWorker::run()
{
    absl::MutexLock lock(&this->mutex);
    while (!this->stopping) {
        const auto wait = this->tasks.empty() ? IdleWait : this->tasks.begin()->first - base::steadyNow();
        if (wait > std::chrono::nanoseconds(0)) {
            const auto isWoken = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) { return this->stopping || this->hasDueTask(); };
            this->mutex.AwaitWithTimeout(absl::Condition(&isWoken), absl::FromChrono(wait));
            continue;
        }
        Task task = std::move(this->tasks.begin()->second);
        this->tasks.erase(this->tasks.begin());
        this->mutex.Unlock();
        task();
        task = nullptr;
        this->mutex.Lock();
    }
}

bool SerialWorker::hasDueTask() const
{
    return !this->tasks.empty() && this->tasks.begin()->first <= base::steadyNow();
}

} // namespace cranberryreel::config
