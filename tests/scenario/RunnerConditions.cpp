#include "scenario/Runner.h"

#include <algorithm>
#include <set>
#include <thread>

namespace cranberryreel::scenario
{

namespace
{

constexpr long StatusOk = 200;
constexpr Milliseconds ReadyCallLimit{1000};
constexpr Milliseconds ProbeDeadline{1000};
constexpr Milliseconds ProbePoll{5};

} // namespace

struct ConditionVisitor {
    Runner &runner;

    template<typename Kind>
    bool operator()(const Kind &condition) const
    {
        return this->runner.holds(condition);
    }
};

bool Runner::holds(const Condition &condition)
{
    return boost::apply_visitor(ConditionVisitor{*this}, condition);
}

bool Runner::holds(const ReadyCondition &condition)
{
    const std::vector<std::string> names = this->namesAt(condition.place);
    return std::all_of(names.begin(), names.end(), [this](const std::string &vm) {
        return callApi("GET", this->cluster.entryUrl(vm) + "/readyz", "", "", ReadyCallLimit).status == StatusOk;
    });
}

bool Runner::holds(const LeaderCondition &condition)
{
    const std::optional<nlohmann::json> row = this->zoneRow(condition.zone);
    const std::string named = this->firstVmAt({PlaceKind::Named, condition.name});
    return row && (row->value("leader", "") == named) != condition.negated;
}

bool Runner::holds(const EpochCondition &condition)
{
    const std::optional<nlohmann::json> row = this->zoneRow(condition.zone);
    return row && row->value("epoch", std::uint64_t{0}) == this->epochs.at(condition.zone);
}

bool Runner::holds(const PlacesCondition &condition)
{
    WorkOptions options;
    options.deadline = ProbeDeadline;
    options.keyZone = condition.zone;
    this->callers.submit("probe", this->firstVmAt(condition.at), condition.zone, options);
    const auto deadline = std::chrono::steady_clock::now() + 2 * ProbeDeadline;
    while (std::chrono::steady_clock::now() < deadline) {
        const Work last = this->callers.worksNamed("probe").back();
        if (last.state() != "open") {
            return last.state() == "done";
        }
        std::this_thread::sleep_for(ProbePoll);
    }
    return false;
}

bool Runner::holds(const StateCondition &condition)
{
    const std::vector<Work> works = this->callers.worksNamed(condition.name);
    return !works.empty() && std::all_of(works.begin(), works.end(), [&condition](const Work &work) {
        return std::find(condition.states.begin(), condition.states.end(), work.state()) != condition.states.end();
    });
}

bool Runner::holds(const StartedCondition &condition)
{
    std::set<std::string> tokens;
    for (const Work &work : this->callers.worksNamed(condition.name)) {
        tokens.insert(work.token);
    }
    const std::vector<JournalEvent> events = this->cluster.journal();
    const auto isStart = [&tokens](const JournalEvent &event) { return event.isStart && tokens.count(event.token) > 0; };
    return std::count_if(events.begin(), events.end(), isStart) == condition.times;
}

bool Runner::holds(const NoLossCondition &condition)
{
    const std::vector<Work> works = this->callers.worksNamed(condition.name);
    const auto wasLost = [](const Response &response) { return response.state == "lost"; };
    return std::none_of(
        works.begin(), works.end(), [&wasLost](const Work &work) { return std::any_of(work.responses.begin(), work.responses.end(), wasLost); });
}

bool Runner::holds(const NoStartCondition &condition)
{
    const std::vector<std::string> names = this->namesAt(condition.at);
    const auto starts = [this, &names] {
        const std::vector<JournalEvent> events = this->cluster.journal();
        return std::count_if(events.begin(), events.end(), [&names](const JournalEvent &event) {
            return event.isStart && std::find(names.begin(), names.end(), event.upstream) != names.end();
        });
    };
    const auto before = starts();
    std::this_thread::sleep_for(condition.time);
    return starts() == before;
}

bool Runner::holds(const ExitCondition &condition)
{
    const std::optional<int> status = this->cluster.exitStatus(this->firstVmAt({PlaceKind::Named, condition.name}));
    return status && static_cast<unsigned>(*status) == condition.status;
}

bool Runner::holds(const RevisionCondition &condition)
{
    std::set<std::uint64_t> revisions;
    for (const std::string &vm : this->vmsAt(condition.at)) {
        revisions.insert(this->cluster.callAsOperator(vm, "GET", "/v1/config/current").json().value("revision", std::uint64_t{0}));
    }
    return revisions.size() == 1 && *revisions.begin() > 0;
}

bool Runner::holds(const WinnerCondition & /*condition*/)
{
    const std::vector<std::string> live = this->liveVms();
    return this->race && std::all_of(live.begin(), live.end(), [this](const std::string &vm) {
               const std::string raceFault = this->race->findFault(vm);
               if (!raceFault.empty()) {
                   this->note(raceFault);
               }
               return raceFault.empty();
           });
}

} // namespace cranberryreel::scenario
