#include "scenario/Oracle.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryreel::scenario
{

namespace
{

using Violations = std::vector<std::string>;

std::map<std::string, std::vector<RunInterval>> groupBy(const std::vector<RunInterval> &intervals, std::string RunInterval::*field)
{
    std::map<std::string, std::vector<RunInterval>> groups;
    for (const RunInterval &interval : intervals) {
        groups[interval.*field].push_back(interval);
    }
    return groups;
}

void addOverlaps(std::vector<RunInterval> group, Violations &violations)
{
    std::sort(group.begin(), group.end(), [](const RunInterval &one, const RunInterval &two) { return one.startNs < two.startNs; });
    for (std::size_t i = 1; i < group.size(); ++i) {
        const RunInterval &earlier = group.at(i - 1);
        const RunInterval &later = group.at(i);
        if (later.startNs < earlier.endNs) {
            violations.push_back(fmt::format("{} had two runs at once: {} attempt {} and {} attempt {} ({}).",
                                             later.token,
                                             earlier.upstream,
                                             earlier.attempt,
                                             later.upstream,
                                             later.attempt,
                                             later.task));
        }
    }
}

bool wasReportedNotRun(const Work &work)
{
    return std::any_of(work.responses.begin(), work.responses.end(), [](const Response &response) { return response.state == "not_run"; });
}

bool wasOnlyRefused(const Work &work)
{
    return !work.responses.empty()
        && std::all_of(work.responses.begin(), work.responses.end(), [](const Response &response) { return response.state == "refused"; });
}

void checkAnswers(const Work &work, bool started, bool ended, Violations &violations)
{
    for (const Response &response : work.responses) {
        if (response.state == "done" && !work.isJob && response.answer != work.token) {
            violations.push_back(fmt::format("{} got the answer '{}', which is not its own.", work.token, response.answer));
        }
        if (response.state == "done" && !(started && ended)) {
            violations.push_back(fmt::format("{} was reported done, but no upstream ran it to its end.", work.token));
        }
    }
    if ((wasReportedNotRun(work) || wasOnlyRefused(work)) && started) {
        violations.push_back(fmt::format("{} was reported as not run (code {}), but it was started.", work.token, work.responses.back().code));
    }
}

struct Change {
    std::int64_t timeNs = 0;
    bool isStart = false;
    model::Resources size;
};

bool earlier(const Change &one, const Change &two)
{
    return std::make_pair(one.timeNs, one.isStart) < std::make_pair(two.timeNs, two.isStart);
}

void addOvercommit(const std::string &vm, const std::vector<RunInterval> &intervals, const VmCapacity &capacity, Violations &violations)
{
    std::vector<Change> changes;
    for (const RunInterval &interval : intervals) {
        changes.push_back({interval.startNs, true, interval.size});
        changes.push_back({interval.endNs, false, interval.size});
    }
    std::sort(changes.begin(), changes.end(), earlier);
    model::Resources used;
    std::int64_t running = 0;
    for (const Change &change : changes) {
        running += change.isStart ? 1 : -1;
        change.isStart ? used += change.size : used -= change.size;
        if (!used.fitsIn(capacity.size) || running > static_cast<std::int64_t>(capacity.slots)) {
            violations.push_back(fmt::format("{} ran more than its capacity: {} tasks, {} millicores, {} MiB.", vm, running, used.cpuMillis, used.memoryMiB));
            return;
        }
    }
}

} // namespace

Violations findConcurrentRuns(const std::vector<RunInterval> &intervals)
{
    Violations violations;
    for (const auto &[task, group] : groupBy(intervals, &RunInterval::task)) {
        addOverlaps(group, violations);
    }
    return violations;
}

Violations findRepeatedRuns(const std::vector<RunInterval> &intervals, const std::vector<Work> &works)
{
    Violations violations;
    const auto byToken = groupBy(intervals, &RunInterval::token);
    for (const Work &work : works) {
        const auto found = byToken.find(work.token);
        if (found == byToken.end()) {
            continue;
        }
        if (work.once && found->second.size() > work.tasks) {
            violations.push_back(fmt::format("{} is not repeatable and started {} times.", work.token, found->second.size()));
        }
        if (work.tasks == 1) {
            addOverlaps(found->second, violations);
        }
    }
    return violations;
}

Violations findFalseResponses(const std::vector<RunInterval> &intervals, const std::vector<Work> &works)
{
    std::set<std::string> started;
    std::set<std::string> ended;
    for (const RunInterval &interval : intervals) {
        started.insert(interval.token);
        if (interval.outcome == "done") {
            ended.insert(interval.token);
        }
    }
    Violations violations;
    for (const Work &work : works) {
        checkAnswers(work, started.count(work.token) > 0, ended.count(work.token) > 0, violations);
    }
    return violations;
}

Violations findUnanswered(const std::vector<Work> &works)
{
    Violations violations;
    for (const Work &work : works) {
        if (!work.isAnswered()) {
            violations.push_back(fmt::format("{} got no answer.", work.token));
        }
    }
    return violations;
}

Violations findOvercommitted(const std::vector<RunInterval> &intervals, const std::map<std::string, VmCapacity> &capacities)
{
    Violations violations;
    for (const auto &[vm, group] : groupBy(intervals, &RunInterval::vm)) {
        addOvercommit(vm, group, capacities.at(vm), violations);
    }
    return violations;
}

} // namespace cranberryreel::scenario
