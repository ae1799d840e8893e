#include "scenario/Runner.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace cranberryreel::scenario
{

namespace
{

constexpr Milliseconds PollInterval{50};
constexpr Milliseconds BringUpLimit{30000};
constexpr Milliseconds SettleLimit{40000};
constexpr unsigned DefaultSlots = 8;
constexpr std::size_t MaxViolations = 10;

Milliseconds elapsedSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

struct StepVisitor {
    Runner &runner;

    template<typename Kind>
    void operator()(const Kind &step) const
    {
        this->runner.runStep(step);
    }
};

Runner::Runner(const Script &scenarioScript, NoteCallback noteCallback)
    : script(scenarioScript)
    , note(std::move(noteCallback))
    , callers(this->cluster)
{
}

std::vector<std::string> Runner::run()
{
    for (const Line &line : this->script.lines) {
        boost::apply_visitor(StepVisitor{*this}, line.step);
        if (!this->failure.empty()) {
            this->callers.endAllLoads();
            this->noteOutcomes(this->callers.works());
            return {fmt::format("{}:{}: {}: {}", this->script.name, line.number, line.text, this->failure), this->cluster.outputTails()};
        }
    }
    std::vector<std::string> violations = this->checkOracles();
    if (!violations.empty()) {
        violations.push_back(this->cluster.outputTails());
    }
    return violations;
}

void Runner::runStep(const ZoneStep &step)
{
    this->cluster.addZone(step);
}

void Runner::runStep(const UpstreamStep &step)
{
    this->cluster.addUpstream(step);
    this->capacities["vm-" + step.name] = {{Cluster::VmCpuMillis, Cluster::VmMemoryMiB, 0}, step.slots.value_or(DefaultSlots)};
}

void Runner::runStep(const BringUpStep & /*step*/)
{
    this->ensurePrepared();
    for (const std::string &vm : this->cluster.vms()) {
        this->start(vm);
    }
    for (const std::string &upstream : this->cluster.upstreams()) {
        this->start(upstream);
    }
    this->awaitBringUp("the register is not in force", [this] { return this->tryLoadRegister(); });
    this->awaitBringUp("a VM is not ready", [this] { return this->holds(ReadyCondition{{PlaceKind::EveryVm, ""}}); });
    this->awaitBringUp("the revisions differ", [this] { return this->holds(RevisionCondition{{PlaceKind::EveryVm, ""}}); });
    this->awaitBringUp("an upstream gets no work", [this] { return this->everyUpstreamAccepts(); });
    this->awaitBringUp("a zone does not place", [this] { return this->everyZonePlaces(); });
}

void Runner::runStep(const ActionStep &step)
{
    using Act = void (Runner::*)(const std::string &);
    static const std::map<Action, Act> acts{
        {Action::Start, &Runner::start},
        {Action::Kill, &Runner::kill},
        {Action::Freeze, &Runner::freeze},
        {Action::Thaw, &Runner::thaw},
        {Action::Stop, &Runner::stop},
        {Action::Restart, &Runner::restart},
        {Action::SnapshotDisk, &Runner::snapshotDisk},
        {Action::WipeDisk, &Runner::wipeDisk},
        {Action::RollBackDisk, &Runner::rollBackDisk},
        {Action::Leave, &Runner::leave},
        {Action::Silence, &Runner::silence},
        {Action::FailAll, &Runner::failAll},
        {Action::Recover, &Runner::recover},
    };
    this->ensurePrepared();
    for (const std::string &name : this->namesAt(step.place)) {
        (this->*acts.at(step.action))(name);
    }
}

void Runner::runStep(const LinkStep &step)
{
    const std::vector<std::string> left = step.left.kind == PlaceKind::Rest ? std::vector<std::string>{} : this->namesAt(step.left);
    const std::vector<std::string> right = this->namesAt(step.right, left);
    for (const std::string &one : left.empty() ? this->namesAt(step.left, right) : left) {
        for (const std::string &other : right) {
            if (one != other && (this->cluster.isVm(one) || this->cluster.isVm(other))) {
                this->cluster.applyToLinks(step.action, one, other);
            }
        }
    }
}

void Runner::runStep(const LetStep &step)
{
    this->aliases[step.alias] = this->firstVmAt(step.place);
}

void Runner::runStep(const NoteEpochStep &step)
{
    const std::optional<nlohmann::json> row = this->zoneRow(step.zone);
    if (!row) {
        this->failure = "the zone has no leader";
        return;
    }
    this->epochs[step.zone] = row->value("epoch", std::uint64_t{0});
}

void Runner::runStep(const SubmitStep &step)
{
    const std::string vm = this->firstVmAt(step.at);
    for (unsigned i = 0; i < step.count.value_or(1); ++i) {
        this->callers.submit(step.name, vm, this->cluster.zoneOf(vm), step.options);
    }
}

void Runner::runStep(const LoadStep &step)
{
    const auto zoneOf = [this](const std::string &vm) { return this->cluster.zoneOf(vm); };
    this->callers.beginLoad(step.name, this->vmsAt(step.at), zoneOf, step.every, step.options);
}

void Runner::runStep(const EndLoadStep &step)
{
    this->callers.endLoad(step.name);
}

void Runner::runStep(const ResendStep &step)
{
    this->callers.resend(step.name, this->firstVmAt(step.at));
}

void Runner::runStep(const CancelStep &step)
{
    this->callers.cancel(step.name, this->firstVmAt(step.at));
}

void Runner::runStep(const RaceStep &step)
{
    this->race = std::make_unique<Race>(this->cluster, step.operators, this->vmsAt(step.at));
}

void Runner::runStep(const SettleStep & /*step*/)
{
    this->callers.endAllLoads();
    if (!this->callers.settle(this->liveVms(), SettleLimit)) {
        this->failure = findUnanswered(this->callers.works()).front();
    }
}

void Runner::runStep(const WaitStep &step)
{
    std::this_thread::sleep_for(step.time);
}

void Runner::runStep(const ExpectStep &step)
{
    const auto start = std::chrono::steady_clock::now();
    const Milliseconds limit = step.within.value_or(Milliseconds(0));
    while (true) {
        const Milliseconds asked = elapsedSince(start);
        if (this->holds(step.condition)) {
            this->note(fmt::format("met after {} ms", elapsedSince(start).count()));
            return;
        }
        if (asked >= limit) {
            this->failure = fmt::format("not met after {} ms", asked.count());
            return;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void Runner::start(const std::string &name)
{
    this->cluster.start(name);
}

void Runner::restart(const std::string &name)
{
    this->cluster.kill(name);
    this->cluster.start(name);
}

void Runner::stop(const std::string &name)
{
    this->cluster.signal(name, SIGTERM);
}

void Runner::freeze(const std::string &name)
{
    this->cluster.signal(name, SIGSTOP);
}

void Runner::thaw(const std::string &name)
{
    this->cluster.signal(name, SIGCONT);
}

void Runner::wipeDisk(const std::string &name)
{
    this->cluster.wipeDisk(name);
}

void Runner::rollBackDisk(const std::string &name)
{
    this->cluster.rollBackDisk(name);
}

void Runner::leave(const std::string &name)
{
    this->cluster.setFaults(name, R"({"leaving": true})");
}

void Runner::silence(const std::string &name)
{
    this->cluster.setFaults(name, R"({"silent": true})");
}

void Runner::failAll(const std::string &name)
{
    this->cluster.setFaults(name, R"({"fail_all": true})");
}

void Runner::recover(const std::string &name)
{
    this->cluster.setFaults(name, R"({"fail_all": false, "leaving": false, "silent": false})");
}

void Runner::kill(const std::string &name)
{
    this->cluster.kill(name);
}

void Runner::snapshotDisk(const std::string &name)
{
    this->cluster.snapshotDisk(name);
}

void Runner::awaitBringUp(const char *what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + BringUpLimit;
    while (this->failure.empty() && !condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            this->failure = what;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

bool Runner::tryLoadRegister()
{
    const nlohmann::json change = {{"id", "scenario-register"}, {"from_revision", 0}, {"text", this->cluster.registerText()}};
    return this->cluster.callAsOperator(this->cluster.vms().front(), "POST", "/v1/config/register", change.dump()).code() == 0;
}

bool Runner::everyUpstreamAccepts()
{
    const nlohmann::json view = this->cluster.callAsOperator(this->cluster.vms().front(), "GET", "/v1/ops/upstreams").json();
    const nlohmann::json rows = view.value("upstreams", nlohmann::json::array());
    const auto accepting = std::count_if(rows.begin(), rows.end(), [](const nlohmann::json &row) { return row.value("accepting", false); });
    return static_cast<std::size_t>(accepting) == this->cluster.upstreams().size();
}

bool Runner::everyZonePlaces()
{
    const nlohmann::json view = this->cluster.callAsOperator(this->cluster.vms().front(), "GET", "/v1/ops/zones").json();
    const nlohmann::json rows = view.value("zones", nlohmann::json::array());
    const auto isPlacing = [](const nlohmann::json &row) { return row.value("placing", false) && row.value("recovered", false); };
    return rows.size() == this->cluster.zoneCount() && std::all_of(rows.begin(), rows.end(), isPlacing);
}

void Runner::ensurePrepared()
{
    if (!this->prepared) {
        this->prepared = true;
        this->cluster.prepare();
        this->watch = std::make_unique<RevisionWatch>(this->cluster, this->cluster.vms());
    }
}

std::vector<std::string> Runner::namesAt(const Place &place, const std::vector<std::string> &otherSide)
{
    switch (place.kind) {
    case PlaceKind::Zone: {
        std::vector<std::string> names = this->cluster.vmsOf(place.name);
        const std::vector<std::string> upstreams = this->cluster.upstreamsOf(place.name);
        names.insert(names.end(), upstreams.begin(), upstreams.end());
        return names;
    }
    case PlaceKind::Rest: {
        std::vector<std::string> names = this->cluster.vms();
        const std::vector<std::string> upstreams = this->cluster.upstreams();
        names.insert(names.end(), upstreams.begin(), upstreams.end());
        const auto isOther = [&otherSide](const std::string &name) { return std::find(otherSide.begin(), otherSide.end(), name) != otherSide.end(); };
        names.erase(std::remove_if(names.begin(), names.end(), isOther), names.end());
        return names;
    }
    case PlaceKind::EveryUpstream:
        return this->cluster.upstreams();
    default:
        return this->vmsAt(place);
    }
}

std::vector<std::string> Runner::vmsAt(const Place &place)
{
    switch (place.kind) {
    case PlaceKind::Zone:
        return this->cluster.vmsOf(place.name);
    case PlaceKind::EveryVm:
        return this->cluster.vms();
    case PlaceKind::Named: {
        const auto alias = this->aliases.find(place.name);
        return {alias == this->aliases.end() ? place.name : alias->second};
    }
    case PlaceKind::Leader:
    case PlaceKind::Follower: {
        const std::optional<nlohmann::json> row = this->zoneRow(place.name);
        const std::string leader = row ? row->value("leader", "") : "";
        for (const std::string &vm : this->cluster.vmsOf(place.name)) {
            if ((vm == leader) == (place.kind == PlaceKind::Leader)) {
                return {vm};
            }
        }
        throw base::Error(base::ResultCode::UsageError, fmt::format("Zone {} has no such VM now.", place.name));
    }
    default:
        throw base::Error(base::ResultCode::UsageError, "This statement needs VMs by name, zone or role.");
    }
}

std::string Runner::firstVmAt(const Place &place)
{
    return this->vmsAt(place).front();
}

std::vector<std::string> Runner::liveVms()
{
    std::vector<std::string> live;
    for (const std::string &vm : this->cluster.vms()) {
        if (this->cluster.running(vm) && this->cluster.isThawed(vm)) {
            live.push_back(vm);
        }
    }
    return live;
}

std::optional<nlohmann::json> Runner::zoneRow(const std::string &zone)
{
    std::optional<nlohmann::json> newest;
    for (const std::string &vm : this->liveVms()) {
        if (this->cluster.zoneOf(vm) != zone) {
            continue;
        }
        const nlohmann::json view = this->cluster.callAsOperator(vm, "GET", "/v1/ops/zones?filter=" + zone).json();
        for (const nlohmann::json &row : view.value("zones", nlohmann::json::array())) {
            const auto epoch = row.value("epoch", std::uint64_t{0});
            if (row.value("zone", "") == zone && (!newest || epoch > newest->value("epoch", std::uint64_t{0}))) {
                newest = row;
            }
        }
    }
    return newest;
}

void Runner::noteOutcomes(const std::vector<Work> &works)
{
    std::map<std::string, unsigned> outcomes;
    for (const Work &work : works) {
        const Response last = work.responses.empty() ? Response() : work.responses.back();
        ++outcomes[fmt::format("{} {} {} {}", work.name, work.state(), base::resultName(static_cast<base::ResultCode>(last.code)), last.reason)];
    }
    for (const auto &[outcome, count] : outcomes) {
        this->note(fmt::format("{}: {}", outcome, count));
    }
}

std::vector<std::string> Runner::checkOracles()
{
    this->callers.endAllLoads();
    this->callers.settle(this->liveVms(), SettleLimit);
    const std::vector<RunInterval> intervals = runIntervals(this->cluster.journal());
    const std::vector<Work> works = this->callers.works();
    std::vector<std::string> violations;
    for (const std::vector<std::string> &found : {findConcurrentRuns(intervals),
                                                  findRepeatedRuns(intervals, works),
                                                  findFalseResponses(intervals, works),
                                                  findUnanswered(works),
                                                  findOvercommitted(intervals, this->capacities),
                                                  this->watch ? this->watch->revisionDecreases() : std::vector<std::string>{}}) {
        violations.insert(violations.end(), found.begin(), found.end());
    }
    this->noteOutcomes(works);
    if (violations.size() > MaxViolations) {
        violations.resize(MaxViolations);
    }
    return violations;
}

} // namespace cranberryreel::scenario
