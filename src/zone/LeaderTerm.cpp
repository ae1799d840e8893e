#include "zone/LeaderTerm.h"

#include "observe/Log.h"
#include "observe/Metrics.h"
#include "zone/Commands.h"
#include "zone/PlannerInput.h"
#include "zone/TaskName.h"
#include "zone/UnixTime.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

const observe::Log Logger("zone");

constexpr std::size_t MaxDecisionsPerRound = 256;
constexpr std::chrono::milliseconds ExpireInterval{10000};

} // namespace

LeaderTerm::LeaderTerm(SchedulerContext schedulerContext, std::function<void()> planningRequest)
    : context(std::move(schedulerContext))
    , requestPlanning(std::move(planningRequest))
    , planner(policy::makePlanner())
    , changes(context, requestPlanning)
    , fleet(context, *this)
    , parts{context, *planner, jobs, fleet, changes, placementIndex, requestPlanning}
    , commander(parts)
    , endHandler(parts, commander)
    , starter(parts, endHandler)
    , closer(parts, endHandler)
    , jobCalls(parts, starter, endHandler, closer)
    , reconciler(parts, commander, endHandler)
{
}

void LeaderTerm::begin(std::shared_ptr<const config::Configuration> configuration)
{
    const base::SteadyTime now = base::steadyNow();
    this->startedAt = now;
    this->nextExpiry = now + ExpireInterval;
    this->applyConfiguration(std::move(configuration));
    this->fleet.takeOver(now);
    this->takeOverJobs(now);
    Logger.info("Leadership of zone {} acquired in epoch {}: {} open jobs, {} upstreams to reach.",
                this->context.options.zone,
                this->context.epoch,
                this->jobs.size(),
                this->fleet.allEntries().size());
    this->fleet.tick(now);
    this->requestPlanning();
}

void LeaderTerm::applyConfiguration(std::shared_ptr<const config::Configuration> configuration)
{
    this->currentConfiguration = std::move(configuration);
    this->planner->setRules(toRulesView(*this->currentConfiguration));
    const std::set<std::string> draining = this->context.store.drainingVms();
    std::set<std::string> vms;
    for (const policy::VmView &vm : toVmViews(*this->currentConfiguration, this->context.options.zone, draining)) {
        vms.insert(vm.vm);
        this->planner->setVm(vm);
    }
    for (const std::string &vm : this->plannedVms) {
        if (vms.count(vm) == 0) {
            this->planner->removeVm(vm);
        }
    }
    this->plannedVms = std::move(vms);
    this->requestPlanning();
}

void LeaderTerm::takeOverJobs(base::SteadyTime now)
{
    std::vector<JobRecord> open;
    this->context.store.visitJobs([&open](const JobRecord &job) {
        if (!model::isFinal(job.state)) {
            open.push_back(job);
        }
    });
    std::sort(open.begin(), open.end(), [](const JobRecord &left, const JobRecord &right) { return left.acceptedAt < right.acceptedAt; });
    for (const JobRecord &record : open) {
        this->takeOverJob(record, now);
    }
}

void LeaderTerm::takeOverJob(const JobRecord &record, base::SteadyTime now)
{
    const auto age = std::max(std::chrono::milliseconds(0), unixNow() - record.acceptedAt);
    ActiveJob &job = this->jobs.add(record.spec, true, now - age);
    job.cancelled = record.cancelled;
    job.span = observe::Span("zone.takeover", {});
    job.span.set("work.id", job.spec.id);
    this->planner->restore(record.spec, now);
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        const TaskRecord &task = record.tasks[index];
        ActiveTask &active = job.tasks[index];
        active.attempt = task.attempt;
        active.failures = task.failures;
        active.upstream = task.upstream;
        active.boot = task.boot;
        active.reserved = task.reserved;
        if (task.state == model::JobState::Running) {
            active.stage = TaskStage::AwaitingReadBack;
            this->planner->adoptTask(record.spec, index, task.upstream, task.reserved, now);
            this->placementIndex.add(task.upstream, {record.spec.id, index});
        } else if (model::isFinal(task.state)) {
            active.stage = TaskStage::Ended;
            this->planner->taskEnded(record.spec.id, index, policy::TaskEnd::Done, false, now);
        }
    }
    this->closer.scheduleDeadlineCheck(job);
}

void LeaderTerm::handleCall(const ZoneCall &zoneCall, const std::string &traceparent, const ReplyCallback &reply)
{
    const CallBody &body = zoneCall.body;
    if (const auto *submit = std::get_if<SubmitCall>(&body)) {
        this->jobCalls.submit(*submit, traceparent, reply);
    } else if (const auto *lookup = std::get_if<LookupCall>(&body)) {
        this->jobCalls.lookup(*lookup, reply);
    } else if (const auto *cancel = std::get_if<CancelCall>(&body)) {
        this->jobCalls.cancel(*cancel, reply);
    } else if (const auto *answer = std::get_if<AnswerCall>(&body)) {
        this->jobCalls.readAnswer(*answer, reply);
    } else if (const auto *announce = std::get_if<AnnounceCall>(&body)) {
        this->handleAnnounce(*announce, reply);
    } else if (const auto *view = std::get_if<ViewCall>(&body)) {
        this->handleView(*view, reply);
    } else if (const auto *drain = std::get_if<DrainCall>(&body)) {
        this->handleDrain(*drain, reply);
    } else if (const auto *members = std::get_if<MembersCall>(&body)) {
        this->handleMembersChange(*members, reply);
    }
}

void LeaderTerm::tick()
{
    const base::SteadyTime now = base::steadyNow();
    this->fleet.tick(now);
    this->jobs.expireWaitersAndResults(now, this->context.options.resultRetention, this->context.options.maxResults);
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + ExpireInterval;
        this->expireJobs();
    }
    if (!this->recoveryReported && this->fleet.isRecovered() && this->fleet.mayPlace(now)) {
        this->recoveryReported = true;
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->startedAt);
        observe::durations("cranberryreel_takeover_seconds", "From gaining leadership to every upstream reached or its lease over.").record(took);
        Logger.info("Recovery of epoch {} completed after {} ms: every upstream is reached or its lease has expired.", this->context.epoch, took.count());
    }
    this->planAndPropose();
}

void LeaderTerm::planAndPropose()
{
    static observe::DurationHistogram &planning = observe::durations("cranberryreel_plan_seconds", "One round of planning.");
    const base::SteadyTime now = base::steadyNow();
    if (this->context.holdsLeaderLease() && this->fleet.mayPlace(now)) {
        const std::vector<policy::Decision> decisions = this->planner->plan(now, MaxDecisionsPerRound);
        planning.record(base::steadyNow() - now);
        for (const policy::Decision &decision : decisions) {
            this->executeDecision(decision, now);
        }
        if (decisions.size() >= MaxDecisionsPerRound) {
            this->requestPlanning();
        }
    }
    this->changes.flush();
}

void LeaderTerm::executeDecision(const policy::Decision &decision, base::SteadyTime now)
{
    if (decision.kind == policy::DecisionKind::Start) {
        this->starter.place(decision, now);
        return;
    }
    if (decision.kind == policy::DecisionKind::Refuse) {
        this->closer.refuse(decision.job, decision.code, decision.reason);
        return;
    }
    ActiveJob *job = this->jobs.find(decision.job);
    if (job == nullptr || decision.task >= job->tasks.size()) {
        return;
    }
    if (decision.kind == policy::DecisionKind::Preempt) {
        this->commander.preempt(*job, decision.task);
    } else {
        this->commander.throttle(*job, decision.task);
    }
}

void LeaderTerm::acceptanceChanged(const UpstreamEntry &entry)
{
    const UpstreamRecord &record = entry.record;
    const policy::UpstreamView view{record.id, record.vm, record.service, record.slots, entry.accepting};
    policy::UpstreamView &plannedView = this->plannedUpstreams[record.id];
    const bool same = plannedView.id == view.id && plannedView.vm == view.vm && plannedView.service == view.service && plannedView.slots == view.slots
        && plannedView.accepting == view.accepting;
    if (same) {
        return;
    }
    plannedView = view;
    this->planner->setUpstream(view, base::steadyNow());
    this->requestPlanning();
}

void LeaderTerm::upstreamEnded(const std::string &id, const std::string &newBoot)
{
    const base::SteadyTime now = base::steadyNow();
    this->placementIndex.visit(id, [this, &id, &newBoot, now](const TaskName &name) {
        ActiveJob *job = this->jobs.find(name.job);
        if (job == nullptr || name.index >= job->tasks.size()) {
            return false;
        }
        const ActiveTask &task = job->tasks[name.index];
        if (task.upstream != id || !mayBeOnUpstream(task.stage)) {
            return task.upstream == id && task.stage == TaskStage::Assigning;
        }
        if (!newBoot.empty() && task.boot == newBoot) {
            return true;
        }
        this->endHandler.handleLost(*job, name.index, now);
        return false;
    });
    this->requestPlanning();
}

void LeaderTerm::upstreamReported(const model::UpstreamReport &report, bool complete, base::SteadyTime askedAt)
{
    this->reconciler.reconcile(report, complete, askedAt);
}

void LeaderTerm::fencedOut(const std::string &id)
{
    Logger.warn("Upstream {} has seen a higher epoch than {}; moving to a higher term.", id, this->context.epoch);
    this->context.group.raiseTerm(this->context.epoch + 1);
}

void LeaderTerm::handleAnnounce(const AnnounceCall &call, const ReplyCallback &reply)
{
    ZoneReply out;
    if (call.report.zone != this->context.options.zone) {
        out.code = base::ResultCode::FieldOutOfRange;
        out.reason = "the upstream announces zone " + call.report.zone + "; this scheduler serves zone " + this->context.options.zone;
        reply(out);
        return;
    }
    this->fleet.handleAnnouncement(call.report, base::steadyNow());
    out.epoch = this->context.epoch;
    out.nextAnnouncementIn = this->fleet.announceInterval();
    reply(out);
}

void LeaderTerm::handleView(const ViewCall &call, const ReplyCallback &reply) const
{
    const ViewRenderer views{this->context, *this->planner, this->fleet, *this->currentConfiguration, this->fleet.isRecovered()};
    ZoneReply out;
    if (const std::optional<std::string> json = views.render(call.what, call.filter)) {
        out.json = *json;
    } else {
        out.code = base::ResultCode::NotFound;
        out.reason = "the view or the id does not exist";
    }
    reply(out);
}

void LeaderTerm::handleDrain(const DrainCall &call, const ReplyCallback &reply)
{
    if (this->plannedVms.count(call.vm) == 0) {
        ZoneReply unknown;
        unknown.code = base::ResultCode::UnknownVm;
        unknown.reason = "the register has no VM " + call.vm + " in zone " + this->context.options.zone;
        reply(unknown);
        return;
    }
    this->context.group.propose(drainCommand(call.vm, call.draining),
                                replication::Durability::Majority,
                                [this, reply, postInTerm = this->context.postInTerm](const replication::ProposeResult &result) {
                                    postInTerm([this, reply, code = result.code] {
                                        if (code == base::ResultCode::Ok) {
                                            this->applyConfiguration(this->currentConfiguration);
                                        }
                                        ZoneReply out;
                                        out.code = code;
                                        reply(out);
                                    });
                                });
}

void LeaderTerm::handleMembersChange(const MembersCall &call, const ReplyCallback &reply)
{
    this->context.group.changeMembers(call.members, [reply](const replication::ProposeResult &result) {
        const bool busy = result.code == base::ResultCode::GroupUnavailable;
        reply(result.code == base::ResultCode::Ok ? ZoneReply()
                                                  : failureReply(result.code, busy ? "another change of the members is in progress; try again" : ""));
    });
}

void LeaderTerm::expireJobs()
{
    const SchedulerOptions &options = this->context.options;
    const std::chrono::milliseconds jobsBefore = unixNow() - options.jobRetention;
    const std::chrono::milliseconds keysBefore = unixNow() - options.keyRetention;
    bool any = false;
    this->context.store.visitJobs([&any, jobsBefore, keysBefore](const JobRecord &job) {
        const auto before = job.spec.key.empty() ? jobsBefore : keysBefore;
        any = any || (job.finalAt.count() > 0 && job.finalAt < before);
    });
    if (any) {
        this->context.group.propose(expireCommand(jobsBefore, keysBefore), replication::Durability::Majority, [](const replication::ProposeResult &) {});
    }
}

void LeaderTerm::resign(const std::string &leader)
{
    this->jobCalls.resign(leader);
}

Beacon LeaderTerm::beacon() const
{
    const base::SteadyTime now = base::steadyNow();
    const policy::LoadView load = this->planner->load(now);
    return {this->context.options.zone,
            this->context.options.ownVm,
            this->context.epoch,
            load.used,
            load.waiting,
            load.expectedWait,
            this->fleet.mayPlace(now),
            load.freeRequestSlots};
}

std::uint64_t LeaderTerm::epoch() const
{
    return this->context.epoch;
}

} // namespace cranberryreel::zone
