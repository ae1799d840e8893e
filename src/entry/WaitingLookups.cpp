#include "entry/WaitingLookups.h"

namespace cranberryreel::entry
{

std::uint64_t WaitingLookups::add(const std::function<void()> &answerNow)
{
    absl::MutexLock lock(&this->mutex);
    this->lookups.emplace(++this->lastNumber, answerNow);
    return this->lastNumber;
}

void WaitingLookups::remove(std::uint64_t number)
{
    absl::MutexLock lock(&this->mutex);
    this->lookups.erase(number);
}

void WaitingLookups::answerAll()
{
    absl::flat_hash_map<std::uint64_t, std::function<void()>> taken;
    {
        absl::MutexLock lock(&this->mutex);
        taken.swap(this->lookups);
    }
    for (const auto &[number, answerNow] : taken) {
        answerNow();
    }
}

} // namespace cranberryreel::entry
