#include "cell/RelayCodec.h"

#include <algorithm>

namespace cranberryreel::cell
{

namespace
{

std::unique_ptr<wire::RelayOrderT> makeRelayOrder(const UpstreamTarget &target, wire::RelayKind kind, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = std::make_unique<wire::RelayOrderT>();
    relay->kind = kind;
    relay->upstream = target.id;
    relay->address = target.address;
    relay->epoch = epoch;
    relay->limit_ms = static_cast<std::uint32_t>(limit.count());
    return relay;
}

UpstreamCallStatus statusFromNumber(std::uint8_t number)
{
    return number <= static_cast<std::uint8_t>(UpstreamCallStatus::Absent) ? static_cast<UpstreamCallStatus>(number) : UpstreamCallStatus::Unknown;
}

RunEndKind endKindFromNumber(std::uint8_t number)
{
    return number <= static_cast<std::uint8_t>(RunEndKind::Alone) ? static_cast<RunEndKind>(number) : RunEndKind::Failed;
}

} // namespace

std::unique_ptr<wire::RelayOrderT> encodeStart(const UpstreamTarget &target, const StartRequest &request, std::chrono::milliseconds limit, bool freshConnection)
{
    auto relay = makeRelayOrder(target, wire::RelayKind::Start, request.epoch, limit);
    relay->fresh_connection = freshConnection;
    relay->task = request.run.task;
    relay->attempt = request.run.attempt;
    relay->payload = request.payload;
    relay->deadline_ms = request.deadline.count();
    relay->checkpoint = request.checkpoint;
    relay->ticket = request.ticket;
    return relay;
}

std::unique_ptr<wire::RelayOrderT> encodeStop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = makeRelayOrder(target, wire::RelayKind::Stop, epoch, limit);
    relay->task = run.task;
    relay->attempt = run.attempt;
    return relay;
}

std::unique_ptr<wire::RelayOrderT> encodeRenew(const UpstreamTarget &target, const RenewRequest &request, std::chrono::milliseconds limit)
{
    auto relay = makeRelayOrder(target, wire::RelayKind::Renew, request.epoch, limit);
    relay->deadline_ms = request.deadline ? request.deadline->count() : -1;
    relay->acknowledged = request.acknowledged;
    relay->wait_ms = static_cast<std::uint32_t>(request.wait.count());
    return relay;
}

std::unique_ptr<wire::RelayOrderT>
encodePace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit)
{
    auto relay = makeRelayOrder(target, wire::RelayKind::Pace, epoch, limit);
    relay->task = run.task;
    relay->attempt = run.attempt;
    relay->percent = static_cast<std::uint32_t>(std::max(percent, 0));
    return relay;
}

StartRequest decodeStart(const wire::RelayOrderT &relay)
{
    StartRequest request;
    request.run = {relay.task, relay.attempt};
    request.payload = relay.payload;
    request.deadline = std::chrono::milliseconds(relay.deadline_ms);
    request.epoch = relay.epoch;
    request.checkpoint = relay.checkpoint;
    request.ticket = relay.ticket;
    return request;
}

RenewRequest decodeRenew(const wire::RelayOrderT &relay)
{
    RenewRequest request;
    if (relay.deadline_ms >= 0) {
        request.deadline = std::chrono::milliseconds(relay.deadline_ms);
    }
    request.epoch = relay.epoch;
    request.acknowledged = relay.acknowledged;
    request.wait = std::chrono::milliseconds(relay.wait_ms);
    return request;
}

std::unique_ptr<wire::RelayResultT> encodeResult(const UpstreamCallResult &result)
{
    auto relay = std::make_unique<wire::RelayResultT>();
    relay->answer = static_cast<std::uint8_t>(result.status);
    relay->clock_ms = result.clock ? result.clock->count() : -1;
    relay->detail = result.status == UpstreamCallStatus::Done ? std::string() : result.detail;
    return relay;
}

std::unique_ptr<wire::RelayResultT> encodeResult(const RenewResult &result)
{
    auto relay = encodeResult(result.callResult);
    relay->born_ms = result.bornMs;
    relay->ends_cut = result.endsCut;
    for (const RunReport &report : result.running) {
        auto line = std::make_unique<wire::RunLineT>();
        line->task = report.run.task;
        line->attempt = report.run.attempt;
        line->checkpoint = report.checkpoint;
        line->percent = report.percent;
        line->figure = report.measurement;
        relay->running.push_back(std::move(line));
    }
    for (const EndReport &report : result.ended) {
        auto line = std::make_unique<wire::EndLineT>();
        line->number = report.number;
        line->task = report.run.task;
        line->attempt = report.run.attempt;
        line->how = static_cast<std::uint8_t>(report.kind);
        line->checkpoint = report.checkpoint;
        relay->ended.push_back(std::move(line));
    }
    return relay;
}

UpstreamCallResult decodeCallResult(const wire::RelayResultT &relay)
{
    UpstreamCallResult result;
    result.status = statusFromNumber(relay.answer);
    if (relay.clock_ms >= 0) {
        result.clock = std::chrono::milliseconds(relay.clock_ms);
    }
    result.detail = relay.detail;
    return result;
}

RenewResult decodeRenewResult(const wire::RelayResultT &relay)
{
    RenewResult renewed;
    renewed.callResult = decodeCallResult(relay);
    renewed.bornMs = relay.born_ms;
    renewed.endsCut = relay.ends_cut;
    for (const auto &line : relay.running) {
        renewed.running.push_back({{line->task, line->attempt}, line->checkpoint, line->percent, line->figure});
    }
    for (const auto &line : relay.ended) {
        renewed.ended.push_back({line->number, {line->task, line->attempt}, endKindFromNumber(line->how), line->checkpoint});
    }
    return renewed;
}

} // namespace cranberryreel::cell
