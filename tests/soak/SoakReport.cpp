#include "soak/SoakReport.h"

#include <fmt/format.h>

#include <cstdio>

namespace cranberryreel::soak
{

namespace
{

/// Later violations mostly follow from the first ones.
constexpr std::size_t MaxPrintedViolations = 20;

} // namespace

void SoakReport::note(const std::string &text)
{
    const absl::MutexLock lock(&this->mutex);
    this->print(text);
}

void SoakReport::addViolation(const std::string &text)
{
    const absl::MutexLock lock(&this->mutex);
    if (++this->violations <= MaxPrintedViolations) {
        this->print("VIOLATION " + text);
    }
}

bool SoakReport::failed() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->violations > 0;
}

std::chrono::duration<double> SoakReport::seconds(std::chrono::steady_clock::time_point time) const
{
    return time - this->start;
}

void SoakReport::print(const std::string &text)
{
    fmt::print("{:8.3f} {}\n", this->seconds(std::chrono::steady_clock::now()).count(), text);
    std::fflush(stdout);
}

} // namespace cranberryreel::soak
