#include "cell/RelayCodec.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

std::unique_ptr<wire::RelayOrderT> orderTo(const UpstreamTarget &target, wire::RelayKind kind, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = std::make_unique<wire::RelayOrderT>();
    relay->kind = kind;
    relay->upstream = target.id;
    relay->address = target.address;
    relay->epoch = epoch;
    relay->limit_ms = static_cast<std::uint32_t>(limit.count());
    return relay;
}

OrderAnswer answerOf(std::uint8_t number)
{
    return number <= static_cast<std::uint8_t>(OrderAnswer::Absent) ? static_cast<OrderAnswer>(number) : OrderAnswer::Unknown;
}

RunEnd endOf(std::uint8_t number)
{
    return number <= static_cast<std::uint8_t>(RunEnd::Alone) ? static_cast<RunEnd>(number) : RunEnd::Failed;
}

} // namespace

std::unique_ptr<wire::RelayOrderT> relayStart(const UpstreamTarget &target, const RunOrder &order, std::chrono::milliseconds limit, bool freshConnection)
{
    auto relay = orderTo(target, wire::RelayKind::Start, order.epoch, limit);
    relay->fresh_connection = freshConnection;
    relay->task = order.run.task;
    relay->attempt = order.run.attempt;
    relay->payload = order.payload;
    relay->deadline_ms = order.deadline.count();
    relay->checkpoint = order.checkpoint;
    relay->ticket = order.ticket;
    return relay;
}

std::unique_ptr<wire::RelayOrderT> relayStop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = orderTo(target, wire::RelayKind::Stop, epoch, limit);
    relay->task = run.task;
    relay->attempt = run.attempt;
    return relay;
}

std::unique_ptr<wire::RelayOrderT> relayRenew(const UpstreamTarget &target, const RenewOrder &order, std::chrono::milliseconds limit)
{
    auto relay = orderTo(target, wire::RelayKind::Renew, order.epoch, limit);
    relay->deadline_ms = order.deadline ? order.deadline->count() : -1;
    relay->acknowledged = order.acknowledged;
    relay->wait_ms = static_cast<std::uint32_t>(order.wait.count());
    return relay;
}

std::unique_ptr<wire::RelayOrderT>
relayPace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = orderTo(target, wire::RelayKind::Pace, epoch, limit);
    relay->task = run.task;
    relay->attempt = run.attempt;
    relay->percent = static_cast<std::uint32_t>(std::max(percent, 0));
    return relay;
}

RunOrder startOf(const wire::RelayOrderT &relay)
{
    RunOrder order;
    order.run = {relay.task, relay.attempt};
    order.payload = relay.payload;
    order.deadline = std::chrono::milliseconds(relay.deadline_ms);
    order.epoch = relay.epoch;
    order.checkpoint = relay.checkpoint;
    order.ticket = relay.ticket;
    return order;
}

RenewOrder renewOf(const wire::RelayOrderT &relay)
{
    RenewOrder order;
    if (relay.deadline_ms >= 0) {
        order.deadline = std::chrono::milliseconds(relay.deadline_ms);
    }
    order.epoch = relay.epoch;
    order.acknowledged = relay.acknowledged;
    order.wait = std::chrono::milliseconds(relay.wait_ms);
    return order;
}

std::unique_ptr<wire::RelayResultT> relayResult(const OrderResult &result)
{
    auto relay = std::make_unique<wire::RelayResultT>();
    relay->answer = static_cast<std::uint8_t>(result.answer);
    relay->clock_ms = result.clock ? result.clock->count() : -1;
    relay->detail = result.answer == OrderAnswer::Done ? std::string() : result.detail;
    return relay;
}

std::unique_ptr<wire::RelayResultT> relayResult(const RenewResult &result)
{
    auto relay = relayResult(result.result);
    relay->born_ms = result.bornMs;
    relay->ends_cut = result.endsCut;
    for (const RunReport &report : result.running) {
        auto line = std::make_unique<wire::RunLineT>();
        line->task = report.run.task;
        line->attempt = report.run.attempt;
        line->checkpoint = report.checkpoint;
        line->percent = report.percent;
        line->figure = report.figure;
        relay->running.push_back(std::move(line));
    }
    for (const EndReport &report : result.ended) {
        auto line = std::make_unique<wire::EndLineT>();
        line->number = report.number;
        line->task = report.run.task;
        line->attempt = report.run.attempt;
        line->how = static_cast<std::uint8_t>(report.how);
        line->checkpoint = report.checkpoint;
        relay->ended.push_back(std::move(line));
    }
    return relay;
}

OrderResult orderResultOf(const wire::RelayResultT &relay)
{
    OrderResult result;
    result.answer = answerOf(relay.answer);
    if (relay.clock_ms >= 0) {
        result.clock = std::chrono::milliseconds(relay.clock_ms);
    }
    result.detail = relay.detail;
    return result;
}

RenewResult renewResultOf(const wire::RelayResultT &relay)
{
    RenewResult renewed;
    renewed.result = orderResultOf(relay);
    renewed.bornMs = relay.born_ms;
    renewed.endsCut = relay.ends_cut;
    for (const auto &line : relay.running) {
        renewed.running.push_back({{line->task, line->attempt}, line->checkpoint, line->percent, line->figure});
    }
    for (const auto &line : relay.ended) {
        renewed.ended.push_back({line->number, {line->task, line->attempt}, endOf(line->how), line->checkpoint});
    }
    return renewed;
}

} // namespace cranberryreel::cell
