#include "cell/CellDaemon.h"

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
/// A VM that had no word from a leader for so long takes no new callers; an election takes about two seconds.
constexpr std::chrono::milliseconds ReadyWithin{3500};

std::vector<std::string> hostsOf(const std::vector<settings::SocketAddress> &seeds)
{
    std::vector<std::string> hosts;
    hosts.reserve(seeds.size());
    for (const settings::SocketAddress &seed : seeds) {
        hosts.push_back(seed.host);
    }
    return hosts;
}

/// The VMs have half a core and less, shared with HTTP and the scheduler; elections must outlast a busy moment.
replication::GroupTimings groupTimings()
{
    replication::GroupTimings timings;
    timings.heartbeat = std::chrono::milliseconds(120);
    timings.electionMin = std::chrono::milliseconds(420);
    timings.electionMax = std::chrono::milliseconds(620);
    timings.restartGrace = std::chrono::milliseconds(620);
    timings.formationSettle = std::chrono::milliseconds(620);
    // Disks here lose what was not synced, and nothing that was: a member that read its disk need not wait for one that might know better.
    timings.formationPatience = std::chrono::milliseconds(3000);
    return timings;
}

} // namespace

CellDaemon::CellDaemon(const CellSettings &cellSettings, UpstreamCalls &upstreamCalls, AdviceCalls &adviceCalls)
    : settings(cellSettings)
    , advice(adviceCalls)
{
    link::LinkHubBuilder builder;
    builder.vm(this->settings.cell.ownVm).cluster(ClusterName).listen(this->settings.link.toString()).keys({this->settings.linkKey, {}}).acceptNewcomers();
    // Callers of a zone that is cut off are sent to other zones once its links are known to be dead.
    link::LinkTimings timings;
    timings.heartbeatInterval = std::chrono::milliseconds(300);
    timings.deadLimit = std::chrono::milliseconds(900);
    builder.timings(timings);
    this->hub = builder.build();
    this->cellCaller = std::make_unique<CellCaller>(*this->hub, this->settings.link.port, hostsOf(this->settings.seeds));
    this->pool = std::make_unique<AdviceDispatcher>(this->settings.cell.ownVm, *this->hub, this->advice);
    if (!this->settings.dataFolder.empty()) {
        MemberOptions options;
        options.dataFolder = this->settings.dataFolder + "/cell";
        options.seeds = hostsOf(this->settings.seeds);
        options.voters = 2 * this->settings.toleratedVms + 1;
        options.firstStart = this->settings.firstStart;
        options.timings = groupTimings();
        this->relays = std::make_unique<ZoneRelays>(this->settings.cell.ownVm, *this->hub, upstreamCalls);
        this->member = std::make_unique<CellMember>(options, this->settings.cell, *this->hub, *this->cellCaller, *this->relays, *this->pool);
        this->relays->locateBy([this](const std::string &upstream) { return this->member->zoneOf(upstream); });
    }
    this->receive();
}

CellDaemon::~CellDaemon()
{
    this->stop(std::chrono::milliseconds(0));
}

void CellDaemon::receive()
{
    this->hub->onMessage(link::Channel::CellGroup, [this](const std::string &fromVm, std::string payload) {
        if (this->member) {
            this->member->receive(fromVm, std::move(payload));
        }
    });
    this->hub->onMessage(link::Channel::CellLead, [this](const std::string &fromVm, const std::string &payload) {
        if (std::uint64_t term = 0; absl::SimpleAtoi(payload, &term)) {
            this->cellCaller->leaderTells(fromVm, term);
        } else {
            Logger.warn("event=lead_unreadable from={} bytes={}", fromVm, payload.size());
        }
    });
    this->hub->onCall(link::Channel::Cell,
                      [this](const std::string &fromVm, const std::string &payload, const std::string & /*traceparent*/, const link::Responder &respond) {
                          std::optional<wire::CallT> call = unpack<wire::Call>(payload);
                          const auto reply = [respond](const wire::ReplyT &answer) { respond(pack<wire::Reply>(answer)); };
                          if (!call) {
                              Logger.warn("event=call_unreadable from={} bytes={}", fromVm, payload.size());
                              reply(replyOf(base::ResultCode::LinkFrameInvalid, "The call cannot be read."));
                          } else if (call->kind == wire::CallKind::Advise) {
                              this->advise(*call, respond);
                          } else if (call->kind == wire::CallKind::Relay) {
                              this->relay(*call, reply);
                          } else if (this->member) {
                              if (call->kind == wire::CallKind::Lookup && !call->zone.empty()) {
                                  this->relays->heard(fromVm, call->zone);
                              }
                              this->member->call(fromVm, std::move(*call), reply);
                          } else {
                              reply(replyOf(base::ResultCode::NotLeader, "This VM holds no state."));
                          }
                      });
}

void CellDaemon::advise(const wire::CallT &call, const link::Responder &respond)
{
    if (!call.advice) {
        respond(pack<wire::Reply>(replyOf(base::ResultCode::MissingField, "The question is missing.")));
        return;
    }
    this->advice.query(call.advice->step, call.advice->upstreams, std::chrono::milliseconds(call.advice->limit_ms), [respond](const AdviceResult &result) {
        const auto code = result.answered ? base::ResultCode::Ok : (result.busy ? base::ResultCode::QueueFull : base::ResultCode::UpstreamUnreachable);
        wire::ReplyT reply = replyOf(code, result.detail);
        for (const auto &[upstream, ticket] : result.tickets) {
            auto entry = std::make_unique<wire::TicketT>();
            entry->upstream = upstream;
            entry->ticket = ticket;
            reply.tickets.push_back(std::move(entry));
        }
        respond(pack<wire::Reply>(reply));
    });
}

void CellDaemon::relay(const wire::CallT &call, const Reply &reply)
{
    if (!this->relays || !call.relay) {
        reply(replyOf(base::ResultCode::MissingField, "There is nothing to hand on, or nobody to do it."));
        return;
    }
    this->relays->carryOut(*call.relay, reply);
}

void CellDaemon::start()
{
    this->started = true;
    this->cellCaller->start();
    this->hub->start();
    if (this->member) {
        this->member->start();
    }
    this->cellCaller->keepLookingUp(this->member ? this->settings.cell.zone : std::string());
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
    this->cellCaller->addSeeds(hostsOf(changed.seeds));
}

bool CellDaemon::isReady() const
{
    return this->cellCaller->inTouch(ReadyWithin) && !this->cellCaller->cutOff();
}

} // namespace cranberryreel::cell
