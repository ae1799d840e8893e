#include "cell/health/UpstreamSpeeds.h"

namespace cranberryreel::cell::health
{

void UpstreamSpeeds::recordCompletion(const StepKey & /*step*/, std::uint64_t /*upstream*/, std::chrono::milliseconds /*duration*/, base::SteadyTime /*now*/)
{
}

void UpstreamSpeeds::recordProgress(
    const RunKey & /*run*/, std::uint64_t /*upstream*/, int /*percent*/, std::chrono::milliseconds /*elapsed*/, base::SteadyTime /*now*/)
{
}

void UpstreamSpeeds::forget(std::uint64_t /*upstream*/)
{
}

void UpstreamSpeeds::eraseClosedJobs(const CellState & /*state*/)
{
}

double UpstreamSpeeds::speedOf(std::uint64_t /*upstream*/) const
{
    return 1.0;
}

bool UpstreamSpeeds::isUneven() const
{
    return false;
}

} // namespace cranberryreel::cell::health
