#include "cell/ScriptedUpstreams.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::support
{

using cell::UpstreamCallResult;
using cell::UpstreamCallStatus;

std::chrono::milliseconds ScriptedUpstreams::clockOf(const Upstream &upstream)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow() - upstream.startedAt);
}

void ScriptedUpstreams::expireLeases(Upstream &upstream)
{
    if (clockOf(upstream) <= upstream.deadline) {
        return;
    }
    for (const auto &[task, runningTask] : upstream.running) {
        upstream.ended.push_back({++upstream.lastEndNumber, {task, runningTask.attempt}, cell::RunEndKind::Lapsed, {}});
        upstream.highestEnded[task] = std::max(upstream.highestEnded[task], runningTask.attempt);
    }
    upstream.running.clear();
}

void ScriptedUpstreams::extendLease(Upstream &upstream, std::chrono::milliseconds deadline) const
{
    upstream.deadline = std::max(upstream.deadline, std::min(deadline, clockOf(upstream) + this->leaseMax));
}

UpstreamCallStatus ScriptedUpstreams::executeStart(Upstream &upstream, const cell::StartRequest &request)
{
    ++upstream.startRequests;
    this->expireLeases(upstream);
    if (request.epoch < upstream.epoch) {
        return UpstreamCallStatus::Fenced;
    }
    upstream.epoch = request.epoch;
    if (const auto runningTask = upstream.running.find(request.run.task);
        runningTask != upstream.running.end() && runningTask->second.attempt == request.run.attempt) {
        return UpstreamCallStatus::Done;
    }
    if (const auto ended = upstream.highestEnded.find(request.run.task); ended != upstream.highestEnded.end() && request.run.attempt <= ended->second) {
        return UpstreamCallStatus::Superseded;
    }
    if (request.deadline <= clockOf(upstream)) {
        return UpstreamCallStatus::TooLate;
    }
    if (upstream.refusesAsFull) {
        return UpstreamCallStatus::InsufficientCapacity;
    }
    this->extendLease(upstream, request.deadline);
    // Upstreams that nobody reaches end the runs of expired leases too.
    for (auto &[id, each] : this->upstreams) {
        this->expireLeases(each);
    }
    if (!this->upstreamOf(request.run.task).empty()) {
        this->ranTwice.insert(request.run.task);
    }
    upstream.running[request.run.task] = {request.run.attempt, request.checkpoint};
    ++this->startCounts[request.run.task];
    return UpstreamCallStatus::Done;
}

void ScriptedUpstreams::start(const cell::UpstreamTarget &target,
                              const cell::StartRequest &request,
                              std::chrono::milliseconds limit,
                              bool /*freshConnection*/,
                              cell::UpstreamCallback done)
{
    Upstream &upstream = this->upstreams[target.id];
    upstream.startLimits.push_back(limit);
    if (upstream.holdsStarts) {
        this->heldStarts.push_back(std::move(done));
        return;
    }
    if (!upstream.reachable || upstream.dropsStarts) {
        upstream.delayedStarts.push_back(request);
        done({UpstreamCallStatus::Unknown, std::nullopt, "no answer"});
        return;
    }
    const UpstreamCallStatus answer = this->executeStart(upstream, request);
    if (upstream.dropsAnswers) {
        done({UpstreamCallStatus::Unknown, std::nullopt, "answer lost"});
        return;
    }
    if (upstream.delaysAnswers) {
        this->delayedAnswers.emplace_back([done = std::move(done), result = UpstreamCallResult{answer, clockOf(upstream), {}}] { done(result); });
        return;
    }
    done({answer, clockOf(upstream), {}});
}

void ScriptedUpstreams::stop(
    const cell::UpstreamTarget &target, const cell::RunName &run, std::uint64_t epoch, std::chrono::milliseconds /*limit*/, cell::UpstreamCallback done)
{
    Upstream &upstream = this->upstreams[target.id];
    if (!upstream.reachable || upstream.dropsStops) {
        done({UpstreamCallStatus::Unknown, std::nullopt, "no answer"});
        return;
    }
    this->expireLeases(upstream);
    if (epoch < upstream.epoch) {
        done({UpstreamCallStatus::Fenced, clockOf(upstream), {}});
        return;
    }
    upstream.epoch = epoch;
    upstream.highestEnded[run.task] = std::max(upstream.highestEnded[run.task], run.attempt);
    if (const auto runningTask = upstream.running.find(run.task); runningTask != upstream.running.end() && runningTask->second.attempt <= run.attempt) {
        upstream.ended.push_back({++upstream.lastEndNumber, {run.task, runningTask->second.attempt}, cell::RunEndKind::Stopped, {}});
        upstream.running.erase(runningTask);
    }
    done({UpstreamCallStatus::Done, clockOf(upstream), {}});
}

cell::RenewResult ScriptedUpstreams::executeRenewal(Upstream &upstream, const cell::RenewRequest &request)
{
    cell::RenewResult renewed;
    upstream.renewals.push_back(request);
    this->expireLeases(upstream);
    renewed.callResult.clock = clockOf(upstream);
    renewed.bornMs = upstream.bornMs;
    if (request.epoch < upstream.epoch) {
        renewed.callResult.status = UpstreamCallStatus::Fenced;
        return renewed;
    }
    upstream.epoch = request.epoch;
    this->extendLease(upstream, request.deadline.value_or(std::chrono::milliseconds(0)));
    while (!upstream.ended.empty() && upstream.ended.front().number <= request.acknowledged) {
        upstream.ended.pop_front();
    }
    renewed.callResult.status = UpstreamCallStatus::Done;
    for (const auto &[task, runningTask] : upstream.running) {
        renewed.running.push_back({{task, runningTask.attempt}, runningTask.checkpoint, 50, 0});
    }
    renewed.ended.assign(upstream.ended.begin(), upstream.ended.end());
    return renewed;
}

void ScriptedUpstreams::renew(const cell::UpstreamTarget &target,
                              const cell::RenewRequest &request,
                              std::chrono::milliseconds /*limit*/,
                              cell::RenewCallback done)
{
    Upstream &upstream = this->upstreams[target.id];
    cell::RenewResult renewed;
    if (!upstream.address.empty() && target.address != upstream.address) {
        renewed.callResult.status = UpstreamCallStatus::OtherUpstream;
        done(renewed);
        return;
    }
    if (upstream.holdsRenewals) {
        this->heldRenewals.push_back(std::move(done));
        this->heldDeadline = request.deadline.value_or(std::chrono::milliseconds(0));
        return;
    }
    if (upstream.renewalsToDrop > 0) {
        --upstream.renewalsToDrop;
        upstream.delayedRenewals.push_back(request);
        done(renewed);
        return;
    }
    if (!upstream.reachable) {
        renewed.callResult.status = upstream.unreachableStatus;
        done(renewed);
        return;
    }
    done(this->executeRenewal(upstream, request));
}

void ScriptedUpstreams::pace(const cell::UpstreamTarget & /*target*/,
                             const cell::RunName & /*run*/,
                             int /*percent*/,
                             std::uint64_t /*epoch*/,
                             std::chrono::milliseconds /*limit*/,
                             cell::UpstreamCallback done)
{
    done({UpstreamCallStatus::Done, std::nullopt, {}});
}

void ScriptedUpstreams::finish(const std::string &id, const std::string &task, cell::RunEndKind how, const std::string &checkpoint)
{
    Upstream &upstream = this->upstreams[id];
    const std::uint32_t attempt = upstream.running.at(task).attempt;
    upstream.running.erase(task);
    upstream.highestEnded[task] = attempt;
    upstream.ended.push_back({++upstream.lastEndNumber, {task, attempt}, how, checkpoint});
}

void ScriptedUpstreams::deliverDelayedStarts(const std::string &id)
{
    Upstream &upstream = this->upstreams[id];
    for (const cell::StartRequest &request : std::exchange(upstream.delayedStarts, {})) {
        this->executeStart(upstream, request);
    }
}

void ScriptedUpstreams::deliverDelayedRenewals(const std::string &id)
{
    Upstream &upstream = this->upstreams[id];
    for (const cell::RenewRequest &request : std::exchange(upstream.delayedRenewals, {})) {
        this->executeRenewal(upstream, request);
    }
}

void ScriptedUpstreams::answerStarts(cell::UpstreamCallStatus status)
{
    for (const cell::UpstreamCallback &done : std::exchange(this->heldStarts, {})) {
        done({status, std::nullopt, {}});
    }
}

void ScriptedUpstreams::deliverDelayedAnswers()
{
    for (const std::function<void()> &deliver : std::exchange(this->delayedAnswers, {})) {
        deliver();
    }
}

void ScriptedUpstreams::breakRenewals()
{
    for (const cell::RenewCallback &done : std::exchange(this->heldRenewals, {})) {
        done({});
    }
}

void ScriptedUpstreams::restart(const std::string &id)
{
    const std::int64_t born = this->upstreams[id].bornMs;
    this->upstreams[id] = Upstream();
    this->upstreams[id].bornMs = born + 1;
}

void ScriptedUpstreams::restartBeforeDelayedRequests(const std::string &id)
{
    Upstream &upstream = this->upstreams[id];
    std::vector<cell::StartRequest> starts = std::move(upstream.delayedStarts);
    std::vector<cell::RenewRequest> renewals = std::move(upstream.delayedRenewals);
    this->restart(id);
    upstream.delayedStarts = std::move(starts);
    upstream.delayedRenewals = std::move(renewals);
}

std::vector<std::string> ScriptedUpstreams::runningTasks() const
{
    std::vector<std::string> tasks;
    for (const auto &[id, upstream] : this->upstreams) {
        for (const auto &[task, runningTask] : upstream.running) {
            tasks.push_back(task);
        }
    }
    return tasks;
}

std::string ScriptedUpstreams::upstreamOf(const std::string &task) const
{
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.running.count(task) > 0) {
            return id;
        }
    }
    return {};
}

} // namespace cranberryreel::support
