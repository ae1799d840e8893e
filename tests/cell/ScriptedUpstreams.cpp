#include "cell/ScriptedUpstreams.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::support
{

using cell::OrderAnswer;
using cell::OrderResult;

std::chrono::milliseconds ScriptedUpstreams::clockOf(const Upstream &upstream)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::steadyNow() - upstream.startedAt);
}

void ScriptedUpstreams::expire(Upstream &upstream)
{
    if (clockOf(upstream) <= upstream.deadline) {
        return;
    }
    for (const auto &[task, held] : upstream.running) {
        upstream.ended.push_back({++upstream.endsNumbered, {task, held.attempt}, cell::RunEnd::Lapsed, {}});
        upstream.highestEnded[task] = std::max(upstream.highestEnded[task], held.attempt);
    }
    upstream.running.clear();
}

OrderAnswer ScriptedUpstreams::begin(Upstream &upstream, const cell::RunOrder &order)
{
    ++upstream.startsAsked;
    this->expire(upstream);
    if (order.epoch < upstream.epoch) {
        return OrderAnswer::Fenced;
    }
    upstream.epoch = order.epoch;
    if (const auto held = upstream.running.find(order.run.task); held != upstream.running.end() && held->second.attempt == order.run.attempt) {
        return OrderAnswer::Done;
    }
    if (const auto ended = upstream.highestEnded.find(order.run.task); ended != upstream.highestEnded.end() && order.run.attempt <= ended->second) {
        return OrderAnswer::Superseded;
    }
    if (order.deadline <= clockOf(upstream)) {
        return OrderAnswer::TooLate;
    }
    if (upstream.refusesForRoom) {
        return OrderAnswer::NoRoom;
    }
    upstream.deadline = std::max(upstream.deadline, order.deadline);
    if (!this->placeOf(order.run.task).empty()) {
        this->doubled.insert(order.run.task);
    }
    upstream.running[order.run.task] = {order.run.attempt, order.checkpoint};
    ++this->startsOf[order.run.task];
    return OrderAnswer::Done;
}

void ScriptedUpstreams::start(
    const cell::UpstreamTarget &target, const cell::RunOrder &order, std::chrono::milliseconds /*limit*/, bool /*freshConnection*/, cell::OrderDone done)
{
    Upstream &upstream = this->upstreams[target.id];
    if (!upstream.reachable || upstream.dropsStarts) {
        upstream.late.push_back(order);
        done({OrderAnswer::Unknown, std::nullopt, "no answer"});
        return;
    }
    const OrderAnswer answer = this->begin(upstream, order);
    if (upstream.losesAnswers) {
        done({OrderAnswer::Unknown, std::nullopt, "answer lost"});
        return;
    }
    done({answer, clockOf(upstream), {}});
}

void ScriptedUpstreams::stop(
    const cell::UpstreamTarget &target, const cell::RunName &run, std::uint64_t epoch, std::chrono::milliseconds /*limit*/, cell::OrderDone done)
{
    Upstream &upstream = this->upstreams[target.id];
    if (!upstream.reachable || upstream.dropsStops) {
        done({OrderAnswer::Unknown, std::nullopt, "no answer"});
        return;
    }
    this->expire(upstream);
    if (epoch < upstream.epoch) {
        done({OrderAnswer::Fenced, clockOf(upstream), {}});
        return;
    }
    upstream.epoch = epoch;
    upstream.highestEnded[run.task] = std::max(upstream.highestEnded[run.task], run.attempt);
    if (const auto held = upstream.running.find(run.task); held != upstream.running.end() && held->second.attempt <= run.attempt) {
        upstream.ended.push_back({++upstream.endsNumbered, {run.task, held->second.attempt}, cell::RunEnd::Stopped, {}});
        upstream.running.erase(held);
    }
    done({OrderAnswer::Done, clockOf(upstream), {}});
}

void ScriptedUpstreams::renew(const cell::UpstreamTarget &target, const cell::RenewOrder &order, std::chrono::milliseconds /*limit*/, cell::RenewDone done)
{
    Upstream &upstream = this->upstreams[target.id];
    cell::RenewResult renewed;
    if (!upstream.reachable) {
        renewed.result.answer = upstream.whenUnreachable;
        done(renewed);
        return;
    }
    this->expire(upstream);
    renewed.result.clock = clockOf(upstream);
    renewed.bornMs = upstream.bornMs;
    if (order.epoch < upstream.epoch) {
        renewed.result.answer = OrderAnswer::Fenced;
        done(renewed);
        return;
    }
    upstream.epoch = order.epoch;
    upstream.deadline = std::max(upstream.deadline, order.deadline.value_or(std::chrono::milliseconds(0)));
    while (!upstream.ended.empty() && upstream.ended.front().number <= order.acknowledged) {
        upstream.ended.pop_front();
    }
    renewed.result.answer = OrderAnswer::Done;
    for (const auto &[task, held] : upstream.running) {
        renewed.running.push_back({{task, held.attempt}, held.checkpoint, 50, 0});
    }
    renewed.ended.assign(upstream.ended.begin(), upstream.ended.end());
    done(renewed);
}

void ScriptedUpstreams::pace(const cell::UpstreamTarget & /*target*/,
                             const cell::RunName & /*run*/,
                             int /*percent*/,
                             std::uint64_t /*epoch*/,
                             std::chrono::milliseconds /*limit*/,
                             cell::OrderDone done)
{
    done({OrderAnswer::Done, std::nullopt, {}});
}

void ScriptedUpstreams::finish(const std::string &id, const std::string &task, cell::RunEnd how, const std::string &checkpoint)
{
    Upstream &upstream = this->upstreams[id];
    const std::uint32_t attempt = upstream.running.at(task).attempt;
    upstream.running.erase(task);
    upstream.highestEnded[task] = attempt;
    upstream.ended.push_back({++upstream.endsNumbered, {task, attempt}, how, checkpoint});
}

void ScriptedUpstreams::arriveLate(const std::string &id)
{
    Upstream &upstream = this->upstreams[id];
    for (const cell::RunOrder &order : std::exchange(upstream.late, {})) {
        this->begin(upstream, order);
    }
}

void ScriptedUpstreams::restart(const std::string &id)
{
    const std::int64_t born = this->upstreams[id].bornMs;
    this->upstreams[id] = Upstream();
    this->upstreams[id].bornMs = born + 1;
}

std::vector<std::string> ScriptedUpstreams::runningTasks() const
{
    std::vector<std::string> tasks;
    for (const auto &[id, upstream] : this->upstreams) {
        for (const auto &[task, held] : upstream.running) {
            tasks.push_back(task);
        }
    }
    return tasks;
}

std::string ScriptedUpstreams::placeOf(const std::string &task) const
{
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.running.count(task) > 0) {
            return id;
        }
    }
    return {};
}

} // namespace cranberryreel::support
