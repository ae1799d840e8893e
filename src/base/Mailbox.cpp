#include "base/Mailbox.h"

#include <absl/time/time.h>

#include <utility>

namespace cranberryreel::base
{

Mailbox::~Mailbox()
{
    this->stop();
}

void Mailbox::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void Mailbox::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
        this->timers.clear();
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void Mailbox::post(Item item)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->stopping) {
        this->items.push_back(std::move(item));
    }
}

void Mailbox::postAfter(std::chrono::milliseconds delay, Item item)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->stopping) {
        const auto place = this->timers.emplace(steadyNow() + delay, std::move(item));
        this->firstTimerChanged = this->firstTimerChanged || place == this->timers.begin();
    }
}

std::size_t Mailbox::depth() const
{
    absl::MutexLock lock(&this->mutex);
    return this->items.size();
}

void Mailbox::run()
{
    while (Item item = this->next()) {
        item();
    }
}

bool Mailbox::hasDue() const
{
    return this->stopping || !this->items.empty() || (!this->timers.empty() && this->timers.begin()->first <= steadyNow());
}

Mailbox::Item Mailbox::next()
{
    absl::MutexLock lock(&this->mutex);
    while (!this->hasDue()) {
        this->firstTimerChanged = false;
        const absl::Condition woken(
            +[](Mailbox *self) ABSL_NO_THREAD_SAFETY_ANALYSIS { return self->stopping || self->firstTimerChanged || !self->items.empty(); }, this);
        if (this->timers.empty()) {
            this->mutex.Await(woken);
        } else {
            this->mutex.AwaitWithTimeout(woken, absl::FromChrono(this->timers.begin()->first - steadyNow()));
        }
    }
    if (!this->timers.empty() && this->timers.begin()->first <= steadyNow()) {
        Item item = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        return item;
    }
    if (!this->items.empty()) {
        Item item = std::move(this->items.front());
        this->items.pop_front();
        return item;
    }
    return nullptr;
}

} // namespace cranberryreel::base
