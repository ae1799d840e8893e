#include "cell/CellState.h"

#include "cell/LateEnd.h"

#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

bool hasRuns(const wire::JobT &job)
{
    for (const auto &occurrence : job.occurrences) {
        for (const auto &step : occurrence->steps) {
            const auto running = [](const std::unique_ptr<wire::TaskT> &task) { return !task->runs.empty(); };
            if (std::any_of(step->tasks.begin(), step->tasks.end(), running)) {
                return true;
            }
        }
    }
    return false;
}

std::size_t occurrenceCount(const wire::JobSpecT &spec)
{
    return std::max<std::size_t>(spec.times, 1);
}

void createTasks(wire::OccurrenceT &occurrence, const wire::JobSpecT &spec)
{
    for (const auto &step : spec.steps) {
        auto state = std::make_unique<wire::StepStateT>();
        for (std::uint32_t i = 0; i < step->tasks; ++i) {
            state->tasks.push_back(std::make_unique<wire::TaskT>());
        }
        occurrence.steps.push_back(std::move(state));
    }
}

bool isDone(const wire::OccurrenceT &occurrence)
{
    const auto stepDone = [](const std::unique_ptr<wire::StepStateT> &step) {
        return std::all_of(step->tasks.begin(), step->tasks.end(), [](const std::unique_ptr<wire::TaskT> &task) { return task->done; });
    };
    return !occurrence.steps.empty() && std::all_of(occurrence.steps.begin(), occurrence.steps.end(), stepDone);
}

/// Whether the end of a run that is not recorded takes effect.
bool isAcceptedLateEnd(const wire::EndT &end, const wire::JobT &job, const wire::TaskT &task, const wire::CommandT &command)
{
    const auto isSameAttempt = [&end](const std::unique_ptr<wire::RunT> &run) { return run->attempt == end.attempt; };
    const bool countsFailure = command.counts_runs && std::none_of(task.runs.begin(), task.runs.end(), isSameAttempt);
    return (end.kind != wire::EndKind::Failed || countsFailure) && isNewLateEnd(job, end);
}

/// Whether only upstreams that have begun the run report this end. A scheduler that ends a run itself, with any other kind, may not know whether it had begun.
bool provesBeginning(wire::EndKind kind)
{
    return kind == wire::EndKind::Done || kind == wire::EndKind::Failed || kind == wire::EndKind::Lapsed || kind == wire::EndKind::Broken
        || kind == wire::EndKind::Alone;
}

bool isPrefixOf(std::string_view prefix, std::string_view path)
{
    return path.substr(0, prefix.size()) == prefix;
}

} // namespace

CellState::CellState() = default;

void CellState::apply(const wire::CommandT &command)
{
    if (command.rules && (!this->currentRules || command.rules->version > this->currentRules->version)) {
        this->setRules(std::make_unique<wire::RulesT>(*command.rules));
    }
    for (const auto &upstream : command.upstreams) {
        this->applyUpstream(*upstream);
    }
    for (const auto &end : command.ends) {
        this->applyEnd(*end, command);
    }
    // A cancel in the same command as its job came after it.
    for (const auto &spec : command.jobs) {
        this->applyJob(*spec, command.now_ms);
    }
    for (const std::string &id : command.cancels) {
        this->applyCancel(id, command.now_ms);
    }
    for (const auto &cancel : command.team_cancels) {
        this->applyTeamCancel(*cancel, command.now_ms);
    }
    for (const auto &ref : command.due) {
        this->applyDueOccurrence(*ref);
    }
    for (const auto &placement : command.placements) {
        this->applyPlacement(*placement);
    }
    for (const std::uint64_t number : command.begun) {
        if (wire::JobT *job = this->mutableJob(number)) {
            job->started = true;
        }
    }
    for (const std::uint64_t number : command.forget) {
        if (const wire::JobT *job = this->job(number); job != nullptr && this->openJobNumbers.count(number) == 0) {
            this->jobNumbers.erase(job->spec->id);
            this->jobTable.erase(number);
        }
    }
    for (const std::string &id : command.forget_cancelled) {
        this->cancelledIdTable.erase(id);
    }
}

void CellState::setRules(std::unique_ptr<wire::RulesT> rules)
{
    this->currentRules = std::move(rules);
    this->teamsByKey.clear();
    this->teamsByName.clear();
    if (!this->currentRules) {
        return;
    }
    for (const auto &team : this->currentRules->teams) {
        this->teamsByName[team->name] = team.get();
        for (const std::string &key : team->keys) {
            this->teamsByKey[key] = team.get();
        }
    }
}

const wire::TeamT *CellState::teamOfKey(std::string_view key) const
{
    const auto found = this->teamsByKey.find(absl::string_view(key.data(), key.size()));
    return found == this->teamsByKey.end() ? nullptr : found->second;
}

const wire::TeamT *CellState::teamNamed(std::string_view name) const
{
    const auto found = this->teamsByName.find(absl::string_view(name.data(), name.size()));
    return found == this->teamsByName.end() ? nullptr : found->second;
}

void CellState::applyUpstream(const wire::UpstreamT &change)
{
    const auto known = this->upstreamNumbers.find(change.id);
    if (known == this->upstreamNumbers.end()) {
        if (change.gone) {
            return;
        }
        wire::UpstreamT added = change;
        added.number = this->nextUpstream++;
        // A renewal meant for its earlier life may have given this one the platform's longest lease.
        added.long_lease = this->removedUpstreams.take(added.id) || added.long_lease;
        this->upstreamNumbers[added.id] = added.number;
        this->upstreamTable[added.number] = std::move(added);
        return;
    }
    const std::uint64_t number = known->second;
    if (change.gone) {
        this->upstreamTable.erase(number);
        this->upstreamNumbers.erase(known);
        this->removedUpstreams.add(change.id);
        return;
    }
    wire::UpstreamT updated = change;
    updated.number = number;
    this->upstreamTable[number] = std::move(updated);
}

void CellState::applyEnd(const wire::EndT &end, const wire::CommandT &command)
{
    wire::JobT *job = this->mutableJob(end.task->job);
    wire::TaskT *task = this->mutableTask(*end.task);
    if (job == nullptr || task == nullptr) {
        return;
    }
    const auto run = std::find_if(task->runs.begin(), task->runs.end(), [&end](const std::unique_ptr<wire::RunT> &candidate) {
        return candidate->attempt == end.attempt && candidate->upstream == end.upstream;
    });
    const bool isLate = run == task->runs.end();
    if (!isLate) {
        task->runs.erase(run);
    } else if (!isAcceptedLateEnd(end, *job, *task, command)) {
        return;
    }
    job->started = job->started || provesBeginning(end.kind);
    const wire::StepT &step = *job->spec->steps[end.task->step];
    auto &members = job->occurrences[end.task->occurrence]->steps[end.task->step]->tasks;
    // A late failure's checkpoint is older than that of a later run, whose members may be starting with theirs.
    const bool isOutdated = isLate && end.kind == wire::EndKind::Failed && end.attempt < task->last_attempt;
    if (!end.checkpoint.empty() && !isOutdated) {
        task->checkpoint = end.checkpoint;
        // All members of a gang must resume from the same checkpoint, so the checkpoint of any member replaces that of the others.
        for (auto &member : members) {
            member->checkpoint = step.gang ? end.checkpoint : member->checkpoint;
        }
    }
    if (end.kind == wire::EndKind::Done && !step.lasting) {
        task->done = true;
        for (auto &member : members) {
            member->done = member->done || step.gang;
        }
        this->completeIfDone(*job, *end.task, command.now_ms);
    } else if (end.kind == wire::EndKind::Failed && !step.lasting && !task->done) {
        if (!command.counts_runs) {
            ++task->failures;
        } else if (!isFailureCounted(*job, *end.task, end.attempt)) {
            ++task->failures;
            task->failed_attempts.push_back(end.attempt);
        }
        this->checkFailureLimit(*job, *end.task, command.now_ms);
    }
    this->updateOpenJobs(*job);
}

void CellState::checkFailureLimit(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs)
{
    if (countedFailures(job, ref) >= this->failureLimitOf(*job.spec) && isActive(job)) {
        this->endJob(job, wire::JobState::Failed, nowMs);
    }
}

void CellState::completeIfDone(wire::JobT &job, const wire::TaskRefT &ref, std::int64_t nowMs)
{
    wire::OccurrenceT &occurrence = *job.occurrences[ref.occurrence];
    occurrence.done = isDone(occurrence);
    const auto done = [](const std::unique_ptr<wire::OccurrenceT> &each) { return each->done; };
    if (isActive(job) && std::all_of(job.occurrences.begin(), job.occurrences.end(), done)) {
        this->endJob(job, wire::JobState::Completed, nowMs);
    }
}

void CellState::endJob(wire::JobT &job, wire::JobState state, std::int64_t nowMs)
{
    job.state = state;
    job.ended_ms = nowMs;
    this->updateOpenJobs(job);
}

void CellState::applyJob(const wire::JobSpecT &spec, std::int64_t nowMs)
{
    if (this->jobNumbers.contains(spec.id) || this->isCancelledId(spec.id, spec.team)) {
        return;
    }
    auto job = std::make_unique<wire::JobT>();
    job->number = this->nextJob++;
    job->spec = std::make_unique<wire::JobSpecT>(spec);
    job->accepted_ms = nowMs;
    for (std::size_t i = 0; i < occurrenceCount(spec); ++i) {
        job->occurrences.push_back(std::make_unique<wire::OccurrenceT>());
    }
    if (spec.times == 0) {
        createTasks(*job->occurrences.front(), spec);
    }
    this->jobNumbers[spec.id] = job->number;
    this->openJobNumbers.insert(job->number);
    this->jobTable[job->number] = std::move(job);
}

void CellState::applyCancel(const std::string &id, std::int64_t nowMs)
{
    const auto found = this->jobNumbers.find(id);
    if (found == this->jobNumbers.end()) {
        this->cancelledIdTable.try_emplace(id, CancelledId{nowMs, {}}).first->second.teams.clear();
    } else if (wire::JobT *job = this->mutableJob(found->second); isActive(*job)) {
        this->endJob(*job, wire::JobState::Cancelled, nowMs);
    }
}

void CellState::applyTeamCancel(const wire::TeamCancelT &cancel, std::int64_t nowMs)
{
    if (const wire::JobT *job = this->jobNamed(cancel.id)) {
        if (job->spec->team == cancel.team) {
            this->applyCancel(cancel.id, nowMs);
        }
        return;
    }
    const auto [cancelled, isNew] = this->cancelledIdTable.try_emplace(cancel.id);
    cancelled->second.cancelledMs = nowMs;
    if (isNew || !cancelled->second.teams.empty()) {
        cancelled->second.teams.insert(cancel.team);
    }
}

bool CellState::isCancelledId(const std::string &id, const std::string &team) const
{
    const auto found = this->cancelledIdTable.find(id);
    return found != this->cancelledIdTable.end() && (found->second.teams.empty() || found->second.teams.count(team) > 0);
}

void CellState::applyDueOccurrence(const wire::TaskRefT &ref)
{
    wire::JobT *job = this->mutableJob(ref.job);
    if (job != nullptr && ref.occurrence < job->occurrences.size() && job->occurrences[ref.occurrence]->steps.empty()) {
        createTasks(*job->occurrences[ref.occurrence], *job->spec);
    }
}

void CellState::applyPlacement(const wire::PlacementT &placement)
{
    wire::JobT *job = this->mutableJob(placement.task->job);
    wire::TaskT *task = this->mutableTask(*placement.task);
    if (job == nullptr || task == nullptr || !isActive(*job) || task->done || placement.attempt <= task->last_attempt) {
        return;
    }
    auto run = std::make_unique<wire::RunT>();
    run->attempt = placement.attempt;
    run->upstream = placement.upstream;
    task->last_attempt = placement.attempt;
    task->runs.push_back(std::move(run));
    job->state = wire::JobState::Running;
}

void CellState::updateOpenJobs(const wire::JobT &job)
{
    if (isActive(job) || hasRuns(job)) {
        this->openJobNumbers.insert(job.number);
    } else {
        this->openJobNumbers.erase(job.number);
    }
}

const wire::QueueT *CellState::queue(const std::string &name) const
{
    if (!this->currentRules) {
        return nullptr;
    }
    const auto &queues = this->currentRules->queues;
    const auto found = std::find_if(queues.begin(), queues.end(), [&name](const std::unique_ptr<wire::QueueT> &each) { return each->name == name; });
    return found == queues.end() ? nullptr : found->get();
}

const wire::QueueT *CellState::queueOf(const wire::JobSpecT &spec) const
{
    if (!spec.route) {
        return this->queue(spec.queue);
    }
    if (this->currentRules) {
        for (const auto &each : this->currentRules->queues) {
            if (each->path_prefix == spec.route->path_prefix && each->host == spec.route->host) {
                return each.get();
            }
        }
    }
    return spec.route.get();
}

std::uint32_t CellState::failureLimitOf(const wire::JobSpecT &spec) const
{
    const wire::QueueT *jobQueue = this->queueOf(spec);
    return std::max<std::uint32_t>(jobQueue == nullptr ? spec.max_failures : jobQueue->max_failures, 1);
}

const wire::QueueT *CellState::queueAt(std::string_view host, std::string_view path) const
{
    const wire::QueueT *best = nullptr;
    if (this->currentRules) {
        for (const auto &each : this->currentRules->queues) {
            const bool matches = each->host == host && isPrefixOf(each->path_prefix, path);
            if (matches && (best == nullptr || each->path_prefix.size() > best->path_prefix.size())) {
                best = each.get();
            }
        }
    }
    return best;
}

const wire::JobT *CellState::job(std::uint64_t number) const
{
    const auto found = this->jobTable.find(number);
    return found == this->jobTable.end() ? nullptr : found->second.get();
}

wire::JobT *CellState::mutableJob(std::uint64_t number)
{
    const auto found = this->jobTable.find(number);
    return found == this->jobTable.end() ? nullptr : found->second.get();
}

const wire::JobT *CellState::jobNamed(const std::string &id) const
{
    const auto found = this->jobNumbers.find(id);
    return found == this->jobNumbers.end() ? nullptr : this->job(found->second);
}

const wire::UpstreamT *CellState::upstreamNamed(const std::string &id) const
{
    const auto found = this->upstreamNumbers.find(id);
    return found == this->upstreamNumbers.end() ? nullptr : &this->upstreamTable.at(found->second);
}

const wire::TaskT *CellState::task(const wire::TaskRefT &ref) const
{
    const wire::JobT *found = this->job(ref.job);
    if (found == nullptr || ref.occurrence >= found->occurrences.size()) {
        return nullptr;
    }
    const auto &steps = found->occurrences[ref.occurrence]->steps;
    if (ref.step >= steps.size() || ref.task >= steps[ref.step]->tasks.size()) {
        return nullptr;
    }
    return steps[ref.step]->tasks[ref.task].get();
}

wire::TaskT *CellState::mutableTask(const wire::TaskRefT &ref)
{
    return const_cast<wire::TaskT *>(std::as_const(*this).task(ref));
}

bool CellState::hasRun(const wire::TaskRefT &ref, std::uint32_t attempt, std::uint64_t upstream) const
{
    const wire::TaskT *found = this->task(ref);
    return found != nullptr && std::any_of(found->runs.begin(), found->runs.end(), [&](const std::unique_ptr<wire::RunT> &run) {
               return run->attempt == attempt && run->upstream == upstream;
           });
}

std::uint32_t countedFailures(const wire::JobT &job, const wire::TaskRefT &ref)
{
    const auto &tasks = job.occurrences[ref.occurrence]->steps[ref.step]->tasks;
    if (!job.spec->steps[ref.step]->gang) {
        return tasks[ref.task]->failures;
    }
    std::uint32_t failures = 0;
    for (const auto &member : tasks) {
        failures += member->failures;
    }
    return failures;
}

bool isFailureCounted(const wire::JobT &job, const wire::TaskRefT &ref, std::uint32_t attempt)
{
    const auto &tasks = job.occurrences[ref.occurrence]->steps[ref.step]->tasks;
    const auto counts = [attempt](const wire::TaskT &task) {
        return std::find(task.failed_attempts.begin(), task.failed_attempts.end(), attempt) != task.failed_attempts.end();
    };
    // The members of a gang share the attempt.
    return job.spec->steps[ref.step]->gang
        ? std::any_of(tasks.begin(), tasks.end(), [&counts](const std::unique_ptr<wire::TaskT> &member) { return counts(*member); })
        : counts(*tasks[ref.task]);
}

std::vector<std::string> cancelledJobs(const wire::CommandT &command)
{
    std::vector<std::string> ids = command.cancels;
    for (const auto &cancel : command.team_cancels) {
        ids.push_back(cancel->id);
    }
    return ids;
}

std::string CellState::encode() const
{
    wire::StateT state;
    state.next_job = this->nextJob;
    state.next_upstream = this->nextUpstream;
    if (this->currentRules) {
        state.rules = std::make_unique<wire::RulesT>(*this->currentRules);
    }
    for (const auto &[number, job] : this->jobTable) {
        state.jobs.push_back(std::make_unique<wire::JobT>(*job));
    }
    for (const auto &[number, upstream] : this->upstreamTable) {
        state.upstreams.push_back(std::make_unique<wire::UpstreamT>(upstream));
    }
    for (const auto &[id, entry] : this->cancelledIdTable) {
        auto cancelled = std::make_unique<wire::CancelledIdT>();
        cancelled->id = id;
        cancelled->cancelled_ms = entry.cancelledMs;
        cancelled->by_teams.assign(entry.teams.begin(), entry.teams.end());
        state.cancelled_ids.push_back(std::move(cancelled));
    }
    state.removed_upstreams = this->removedUpstreams.ids();
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::State::Pack(builder, &state));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

CellState CellState::decode(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!verifier.VerifyBuffer<wire::State>()) {
        throw base::Error(base::ResultCode::SnapshotCorrupt, "The snapshot of the cell state is not a valid State buffer.");
    }
    wire::StateT state;
    flatbuffers::GetRoot<wire::State>(bytes.data())->UnPackTo(&state);
    CellState decoded;
    decoded.nextJob = state.next_job;
    decoded.nextUpstream = state.next_upstream;
    decoded.setRules(std::move(state.rules));
    for (auto &job : state.jobs) {
        decoded.jobNumbers[job->spec->id] = job->number;
        decoded.updateOpenJobs(*job);
        decoded.jobTable[job->number] = std::move(job);
    }
    for (const auto &upstream : state.upstreams) {
        decoded.upstreamNumbers[upstream->id] = upstream->number;
        decoded.upstreamTable[upstream->number] = *upstream;
    }
    for (const auto &cancelled : state.cancelled_ids) {
        decoded.cancelledIdTable[cancelled->id] = {cancelled->cancelled_ms, {cancelled->by_teams.begin(), cancelled->by_teams.end()}};
    }
    for (const std::string &id : state.removed_upstreams) {
        decoded.removedUpstreams.add(id);
    }
    return decoded;
}

} // namespace cranberryreel::cell
