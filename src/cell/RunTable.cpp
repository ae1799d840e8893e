#include "cell/RunTable.h"

#include <utility>

namespace cranberryreel::cell
{

TrackedRun &RunTable::add(TrackedRun run)
{
    const RunKey key = run.key;
    this->byUpstream[run.upstream].insert(key);
    return this->runs.insert_or_assign(key, std::move(run)).first->second;
}

void RunTable::erase(const RunKey &key)
{
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return;
    }
    const auto place = this->byUpstream.find(found->second.upstream);
    place->second.erase(key);
    if (place->second.empty()) {
        this->byUpstream.erase(place);
    }
    this->runs.erase(found);
}

TrackedRun *RunTable::find(const RunKey &key)
{
    const auto found = this->runs.find(key);
    return found == this->runs.end() ? nullptr : &found->second;
}

std::vector<RunKey> RunTable::runsOnUpstream(std::uint64_t upstream) const
{
    const auto found = this->byUpstream.find(upstream);
    return found == this->byUpstream.end() ? std::vector<RunKey>() : std::vector<RunKey>(found->second.begin(), found->second.end());
}

std::size_t RunTable::countOnUpstream(std::uint64_t upstream) const
{
    const auto found = this->byUpstream.find(upstream);
    return found == this->byUpstream.end() ? 0 : found->second.size();
}

std::vector<RunKey> RunTable::runsOfJob(std::uint64_t job) const
{
    std::vector<RunKey> keys;
    for (auto at = this->runs.lower_bound(RunKey{{{job, 0, 0}, 0}, 0}); at != this->runs.end() && at->first.task.step.job == job; ++at) {
        keys.push_back(at->first);
    }
    return keys;
}

} // namespace cranberryreel::cell
