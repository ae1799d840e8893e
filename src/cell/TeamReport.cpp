#include "cell/TeamReport.h"

#include "cell/teams/TeamShares.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>

namespace cranberryreel::cell
{

namespace
{

using planning::WaitReason;
using teams::TeamUse;

const observe::Log Logger("cell");

/// Teams with metrics of their own. An operator may configure thousands, and each costs seven series on every VM.
constexpr std::size_t MaxNamedTeams = 64;

enum class Figure : std::uint8_t {
    WaitingTasks,
    RunningCpu,
    CpuLimit,
    RunningMemory,
    RunningAccelerators,
    Share,
    Weight
};

struct FigureName {
    const char *name;
    const char *help;
};

/// In the order of Figure.
constexpr std::array<FigureName, 7> FigureNames{{
    {"cranberryreel_cell_team_waiting_tasks", "Tasks of the team that are ready to start and wait."},
    {"cranberryreel_cell_team_running_cpu_millis", "Processor time that the team has running, in thousandths of a core."},
    {"cranberryreel_cell_team_cpu_limit_millis", "The team's limit of processor time; 0 for none."},
    {"cranberryreel_cell_team_running_memory_mib", "Memory that the team's tasks have reserved."},
    {"cranberryreel_cell_team_running_accelerators", "Accelerators that the team's tasks have reserved."},
    {"cranberryreel_cell_team_share", "The largest part of any resource of the cell that the team has running."},
    {"cranberryreel_cell_team_weight", "The team's weight."},
}};

using Figures = std::array<double, FigureNames.size()>;

std::string escapeLabel(const std::string &name)
{
    std::string escaped;
    for (const char each : name) {
        if (each == '\\' || each == '"') {
            escaped += '\\';
        }
        escaped += each == '\n' ? ' ' : each;
    }
    return escaped;
}

/// How a team is called in logs and metrics.
std::string reportedName(const std::string &team)
{
    return team.empty() ? "none" : team;
}

/// The metrics of the process by team. A gauge is registered for good, so the figures are never destroyed; the export reads them without the mutex. Any thread.
class TeamGauges
{
public:
    static TeamGauges &instance()
    {
        static auto *gauges = new TeamGauges;
        return *gauges;
    }

    /// Replaces all figures.
    void set(const std::map<std::string, Figures> &byTeam)
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, Figures> sums;
        for (const auto &[team, figures] : byTeam) {
            Figures &sum = sums[this->nameFor(team)];
            std::transform(sum.begin(), sum.end(), figures.begin(), sum.begin(), std::plus<>());
        }
        for (const auto &[name, exported] : this->exportedByName) {
            const Figures &sum = sums[name];
            std::copy(sum.begin(), sum.end(), exported->begin());
        }
    }

private:
    using ExportedFigures = std::array<std::atomic<double>, FigureNames.size()>;

    /// The name under which the team is exported: its own for the first ones, and `other` for the rest.
    std::string nameFor(const std::string &team)
    {
        const std::string name = reportedName(team);
        const bool isKnown = this->exportedByName.count(name) > 0;
        std::string chosen = isKnown || this->exportedByName.size() < MaxNamedTeams ? name : "other";
        if (const auto [found, isNew] = this->exportedByName.try_emplace(chosen); isNew) {
            found->second = std::make_shared<ExportedFigures>();
            for (std::size_t i = 0; i < FigureNames.size(); ++i) {
                const std::string labels = "team=\"" + escapeLabel(chosen) + "\"";
                observe::gauge(FigureNames[i].name, FigureNames[i].help, labels, [exported = found->second, i] { return (*exported)[i].load(); });
            }
        }
        return chosen;
    }

    std::mutex mutex;
    std::map<std::string, std::shared_ptr<ExportedFigures>> exportedByName;
};

const char *teamWaitReason(WaitReason reason, double weightedShare, double leastWeightedShare)
{
    return reason == WaitReason::Capacity && weightedShare > leastWeightedShare ? "share" : planning::waitReasonName(reason);
}

} // namespace

TeamReport::~TeamReport()
{
    TeamGauges::instance().set({});
}

std::map<std::string, TeamReport::Waiting> TeamReport::waitingByTeam(const planning::Plan &plan, const CellState &state)
{
    std::map<std::string, Waiting> waiting;
    for (const planning::WaitingStep &step : plan.waiting) {
        Waiting &team = waiting[state.job(step.step.job)->spec->team];
        team.first = team.first == nullptr ? &step : team.first;
        team.tasks += step.tasks;
        team.quotaTasks += step.reason == WaitReason::Quota ? step.tasks : 0;
    }
    return waiting;
}

void TeamReport::record(const planning::Plan &plan, const CellState &state)
{
    if (plan.teams.empty()) {
        return;
    }
    const teams::TeamShares shares(plan.teams, plan.cellTotal);
    std::map<std::string, Waiting> waiting = waitingByTeam(plan, state);
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < plan.teams.size(); ++i) {
        if (waiting.count(plan.teams[i].name) > 0) {
            least = std::min(least, shares.weightedShareOf(i));
        }
    }
    std::map<std::string, Figures> figures;
    for (std::size_t i = 0; i < plan.teams.size(); ++i) {
        const TeamUse &team = plan.teams[i];
        const Waiting &steps = waiting[team.name];
        figures[team.name] = {static_cast<double>(steps.tasks),
                              static_cast<double>(team.running.cpuMillis),
                              static_cast<double>(team.limit.cpuMillis),
                              static_cast<double>(team.running.memoryMib),
                              static_cast<double>(team.running.accelerators),
                              shares.shareOf(i),
                              team.weight};
        if (steps.first == nullptr) {
            continue;
        }
        const StepKey &step = steps.first->step;
        const wire::JobSpecT &spec = *state.job(step.job)->spec;
        const wire::StepT &demand = *spec.steps[step.step];
        Logger.info("event=team_waiting team={} job={} job_number={} step={} reason={} tasks={} quota_tasks={} task_cpu_millis={} task_memory_mib={} "
                    "task_accelerators={} running_cpu_millis={} limit_cpu_millis={} running_memory_mib={} limit_memory_mib={} running_accelerators={} "
                    "limit_accelerators={} share={} weighted_share={} least_weighted_share={}",
                    reportedName(team.name),
                    spec.id,
                    step.job,
                    step.step,
                    teamWaitReason(steps.first->reason, shares.weightedShareOf(i), least),
                    steps.tasks,
                    steps.quotaTasks,
                    demand.cpu_millis,
                    demand.memory_mib,
                    demand.accelerators,
                    team.running.cpuMillis,
                    team.limit.cpuMillis,
                    team.running.memoryMib,
                    team.limit.memoryMib,
                    team.running.accelerators,
                    team.limit.accelerators,
                    shares.shareOf(i),
                    shares.weightedShareOf(i),
                    least);
    }
    TeamGauges::instance().set(figures);
}

} // namespace cranberryreel::cell
