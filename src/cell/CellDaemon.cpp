#include "cell/CellDaemon.h"

#include "cell/CellTimings.h"
#include "cell/Codec.h"
#include "link/LinkHubBuilder.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

constexpr const char *ClusterName = "cell";
/// A VM that has not heard from a leader for this long accepts no new callers. An election takes about two seconds.
constexpr std::chrono::milliseconds ReadyMaxAge{3500};

std::vector<std::string> hostsOf(const std::vector<settings::SocketAddress> &seeds)
{
    std::vector<std::string> hosts;
    hosts.reserve(seeds.size());
    for (const settings::SocketAddress &seed : seeds) {
        hosts.push_back(seed.host);
    }
    return hosts;
}

} // namespace

CellDaemon::CellDaemon(const CellSettings &cellSettings, UpstreamCalls &upstreamCalls, AdviceCalls &adviceCalls)
    : settings(cellSettings)
    , localAdvice(adviceCalls)
{
    link::LinkHubBuilder builder;
    builder.vm(this->settings.cell.ownVm).cluster(ClusterName).listen(this->settings.link.toString()).keys({this->settings.linkKey, {}}).acceptNewcomers();
    // Callers of a zone that is cut off can be sent to other zones only after its links are detected as down.
    link::LinkTimings timings;
    timings.heartbeatInterval = std::chrono::milliseconds(300);
    timings.deadLimit = std::chrono::milliseconds(900);
    builder.timings(timings);
    this->hub = builder.build();
    this->cellCaller = std::make_unique<CellCaller>(*this->hub, this->settings.link.port, hostsOf(this->settings.seeds));
    this->adviceDispatcher = std::make_unique<AdviceDispatcher>(this->settings.cell.ownVm, *this->hub, this->localAdvice);
    if (!this->settings.dataFolder.empty()) {
        MemberOptions options;
        options.dataFolder = this->settings.dataFolder + "/cell";
        options.seeds = hostsOf(this->settings.seeds);
        options.membership.maxMembers = 2 * this->settings.toleratedVms + 1;
        options.membership.maxStandbys = std::max<std::size_t>(1, this->settings.toleratedVms);
        // Leaves the other half of the time to a successor that has to copy the log first.
        options.membership.replaceAfter = this->settings.catchUp / 2;
        options.firstStart = this->settings.firstStart;
        options.timings = cellGroupTimings();
        this->relays = std::make_unique<ZoneRelays>(this->settings.cell.ownVm, *this->hub, upstreamCalls);
        this->member = std::make_unique<CellMember>(options, this->settings.cell, *this->hub, *this->cellCaller, *this->relays, *this->adviceDispatcher);
        this->relays->setZoneLookup([this](const std::string &upstream) { return this->member->zoneOfUpstream(upstream); });
    }
    this->registerHandlers();
}

CellDaemon::~CellDaemon()
{
    this->stop(std::chrono::milliseconds(0));
}

void CellDaemon::registerHandlers()
{
    this->hub->onMessage(link::Channel::CellGroup, [this](const std::string &fromVm, std::string payload) {
        if (this->member) {
            this->member->receive(fromVm, std::move(payload));
        }
    });
    this->hub->onMessage(link::Channel::CellLead, [this](const std::string &fromVm, const std::string &payload) {
        if (std::uint64_t term = 0; absl::SimpleAtoi(payload, &term)) {
            this->cellCaller->leaderAnnounced(fromVm, term);
        } else {
            Logger.warn("event=leader_announcement_unreadable from={} bytes={}", fromVm, payload.size());
        }
    });
    this->hub->onCall(link::Channel::Cell,
                      [this](const std::string &fromVm, const std::string &payload, const std::string & /*traceparent*/, const link::Responder &respond) {
                          std::optional<wire::CallT> call = unpack<wire::Call>(payload);
                          const auto reply = [respond](const wire::ReplyT &answer) { respond(pack<wire::Reply>(answer)); };
                          if (!call) {
                              Logger.warn("event=call_unreadable from={} bytes={}", fromVm, payload.size());
                              reply(makeReply(base::ResultCode::LinkFrameInvalid, "The call cannot be decoded."));
                          } else if (call->kind == wire::CallKind::Advise) {
                              this->advise(*call, respond);
                          } else if (call->kind == wire::CallKind::Relay) {
                              this->relay(*call, reply);
                          } else if (this->member) {
                              if (call->kind == wire::CallKind::Lookup && !call->zone.empty()) {
                                  this->relays->recordRelay(
                                      fromVm, call->zone, call->clock_ms < 0 ? std::nullopt : std::make_optional(std::chrono::milliseconds(call->clock_ms)));
                              }
                              this->member->call(fromVm, std::move(*call), reply);
                          } else {
                              reply(makeReply(base::ResultCode::NotLeader, "This VM does not hold the cell's state."));
                          }
                      });
}

void CellDaemon::advise(const wire::CallT &call, const link::Responder &respond)
{
    if (!call.advice) {
        respond(pack<wire::Reply>(makeReply(base::ResultCode::MissingField, "The advice query is missing.")));
        return;
    }
    this->localAdvice.query(call.advice->step, call.advice->upstreams, std::chrono::milliseconds(call.advice->limit_ms), [respond](const AdviceResult &result) {
        const auto code = result.answered ? base::ResultCode::Ok : (result.busy ? base::ResultCode::QueueFull : base::ResultCode::UpstreamUnreachable);
        wire::ReplyT reply = makeReply(code, result.detail);
        for (const auto &[upstream, ticket] : result.tickets) {
            auto entry = std::make_unique<wire::TicketT>();
            entry->upstream = upstream;
            entry->ticket = ticket;
            reply.tickets.push_back(std::move(entry));
        }
        respond(pack<wire::Reply>(reply));
    });
}

void CellDaemon::relay(const wire::CallT &call, const ReplyCallback &reply)
{
    if (!this->relays || !call.relay) {
        reply(makeReply(base::ResultCode::MissingField, "The relay request is missing, or this VM relays no calls."));
        return;
    }
    this->relays->handleRelay(*call.relay, reply);
}

void CellDaemon::start()
{
    this->started = true;
    this->cellCaller->start();
    this->hub->start();
    if (this->member) {
        this->member->start();
    }
    this->cellCaller->startLookups(this->member ? this->settings.cell.zone : std::string());
    Logger.info("event=started name={} zone={} holds_state={} first_start={} seeds={}",
                this->settings.name,
                this->settings.cell.zone,
                this->member != nullptr,
                this->settings.firstStart,
                this->settings.seeds.size());
}

void CellDaemon::stop(std::chrono::milliseconds limit)
{
    if (!std::exchange(this->started, false)) {
        return;
    }
    Logger.info("event=stopping");
    if (this->member) {
        this->member->stop(limit);
    }
    this->cellCaller->stop();
    this->hub->stop();
}

void CellDaemon::reload(const CellSettings &changed)
{
    Logger.info("event=reloaded seeds={}", changed.seeds.size());
    this->cellCaller->setSeeds(hostsOf(changed.seeds));
}

bool CellDaemon::isReady() const
{
    return this->cellCaller->heardLeaderWithin(ReadyMaxAge) && !this->cellCaller->isCutOff();
}

} // namespace cranberryreel::cell
