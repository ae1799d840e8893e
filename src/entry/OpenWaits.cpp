#include "entry/OpenWaits.h"

namespace cranberryreel::entry
{

std::uint64_t OpenWaits::add(const std::function<void()> &answerNow)
{
    absl::MutexLock lock(&this->mutex);
    this->waits.emplace(++this->last, answerNow);
    return this->last;
}

void OpenWaits::remove(std::uint64_t number)
{
    absl::MutexLock lock(&this->mutex);
    this->waits.erase(number);
}

void OpenWaits::answerAll()
{
    absl::flat_hash_map<std::uint64_t, std::function<void()>> taken;
    {
        absl::MutexLock lock(&this->mutex);
        taken.swap(this->waits);
    }
    for (const auto &[number, answerNow] : taken) {
        answerNow();
    }
}

} // namespace cranberryreel::entry
