#include "daemon/Daemon.h"

#include "config/ConfigServiceBuilder.h"
#include "config/KeyHash.h"
#include "cranberryreel/base/Error.h"
#include "daemon/KeyFile.h"
#include "daemon/ZoneFrame.h"
#include "entry/EntryServerBuilder.h"
#include "link/LinkHubBuilder.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/SpanFanOut.h"
#include "observe/SpanFile.h"
#include "zone/CallCodec.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace cranberryreel::daemon
{

namespace
{

const observe::Log Logger("daemon");

constexpr std::chrono::milliseconds LeadershipTransferLimit{3000};
constexpr std::chrono::milliseconds LoadBalancerGrace{1000};
constexpr std::chrono::milliseconds InFlightWaitLimit{3000};
constexpr std::chrono::milliseconds PollInterval{10};

std::map<std::string, std::vector<std::string>> zoneMembers(const settings::Settings &settings)
{
    std::map<std::string, std::vector<std::string>> members;
    for (const auto &[name, zone] : settings.zones) {
        members[name] = zone.members;
    }
    return members;
}

link::LinkKeys linkKeys(const settings::LinkSettings &settings)
{
    return {readKeyFile(settings.keyFile), settings.nextKeyFile.empty() ? std::string() : readKeyFile(settings.nextKeyFile)};
}

} // namespace

Daemon::Daemon(settings::Settings daemonSettings)
    : settings(std::move(daemonSettings))
    , directory(zoneMembers(settings))
{
    this->setUpTracing();
    this->buildLinks();
    this->configuration = config::ConfigServiceBuilder().settings(this->settings).hub(*this->hub).build();
    this->adapter = std::make_unique<upstream::HttpUpstreamAdapter>();
    this->buildZones();
    this->buildEntry();
    this->registerMessageHandlers();
    this->registerZoneCallHandler();
}

Daemon::~Daemon()
{
    if (this->started) {
        this->stopGracefully();
    }
}

void Daemon::setUpTracing()
{
    this->spans = std::make_shared<observe::SpanRing>(this->settings.trace.keepSpans);
    std::vector<std::shared_ptr<observe::SpanSink>> sinks{this->spans};
    if (!this->settings.trace.file.empty()) {
        sinks.push_back(std::make_shared<observe::SpanFile>(this->settings.trace.file));
    }
    observe::setSpanService(this->settings.daemon.vm);
    observe::setSpanSink(std::make_shared<observe::SpanFanOut>(std::move(sinks)));
}

/// Registers gauges that sum the hub's per-peer counters.
void Daemon::registerLinkMetrics()
{
    const auto sum = [this](std::uint64_t link::PeerStatus::*field) {
        std::uint64_t total = 0;
        for (const link::PeerStatus &peer : this->hub->peers()) {
            total += peer.*field;
        }
        return static_cast<double>(total);
    };
    const char *help = "Bytes on the links to other daemons, framing included, since the links came up.";
    observe::gauge("cranberryreel_link_bytes", help, "direction=\"out\"", [sum] { return sum(&link::PeerStatus::bytesOut); });
    observe::gauge("cranberryreel_link_bytes", help, "direction=\"in\"", [sum] { return sum(&link::PeerStatus::bytesIn); });
    observe::gauge("cranberryreel_links_up", "Links to other daemons that are up.", "", [this] {
        const std::vector<link::PeerStatus> peers = this->hub->peers();
        return static_cast<double>(std::count_if(peers.begin(), peers.end(), [](const link::PeerStatus &peer) { return peer.up; }));
    });
}

/// Registers gauges that tell when a group has lost members, whether they lead or not.
void Daemon::registerGroupMetrics(const std::string &group, const std::function<replication::GroupStatus()> &status)
{
    const std::string labels = "group=\"" + group + "\"";
    observe::gauge("cranberryreel_group_members", "Members of the group, as this member knows them.", labels, [status] {
        return static_cast<double>(status().members.size());
    });
    observe::gauge("cranberryreel_group_members_linked", "Members of the group to which this VM has a link, itself included.", labels, [this, status] {
        const std::vector<std::string> members = status().members;
        return static_cast<double>(std::count_if(members.begin(), members.end(), [this](const std::string &vm) { return this->hub->isUp(vm); }));
    });
    observe::gauge(
        "cranberryreel_group_member_caught_up", "1 when this member of the group votes.", labels, [status] { return status().caughtUp ? 1.0 : 0.0; });
}

void Daemon::buildLinks()
{
    link::LinkHubBuilder builder;
    builder.vm(this->settings.daemon.vm)
        .cluster(this->settings.daemon.cluster)
        .listen(this->settings.link.listen.toString())
        .keys(linkKeys(this->settings.link));
    link::LinkTimings timings;
    timings.heartbeatInterval = this->settings.link.heartbeat;
    timings.deadLimit = this->settings.link.deadAfter;
    builder.timings(timings);
    link::LinkLimits limits;
    limits.queueBytes = this->settings.limits.maxLinkQueueBytes;
    builder.limits(limits);
    for (const auto &[vm, peer] : this->settings.peers) {
        builder.peer(vm, peer.address.toString());
    }
    this->hub = builder.build();
    this->registerLinkMetrics();
}

void Daemon::buildZones()
{
    for (const auto &[name, zone] : this->settings.zones) {
        const bool isMember = std::find(zone.members.begin(), zone.members.end(), this->settings.daemon.vm) != zone.members.end();
        if (!isMember && zone.witness != this->settings.daemon.vm) {
            continue;
        }
        this->zones[name] = std::make_unique<ZoneMember>(
            this->settings, zone, *this->hub, *this->adapter, *this->configuration, [this](const zone::Beacon &beacon) { this->sendBeacon(beacon); });
    }
    for (const auto &[name, member] : this->zones) {
        this->registerGroupMetrics("zone " + name, [&zoneMember = *member] { return zoneMember.status(); });
    }
    if (this->configuration->groupStatus()) {
        this->registerGroupMetrics("configuration", [this] { return this->configuration->groupStatus().value_or(replication::GroupStatus()); });
    }
    this->configuration->onChange([this](const std::shared_ptr<const config::Configuration> &) {
        for (auto &[name, member] : this->zones) {
            member->configurationChanged();
        }
    });
}

void Daemon::buildEntry()
{
    routing::RoutingOptions routing;
    routing.ownVm = this->settings.daemon.vm;
    routing.ownZone = this->settings.daemon.zone;
    routing.transferCost = this->settings.timing.transferCost;
    for (const auto &[vm, peer] : this->settings.peers) {
        routing.hasDisk[vm] = peer.hasDisk;
    }
    const auto dispatcher = std::make_shared<routing::RoutedDispatcher>(routing, *this->hub, this->directory, this->timers);
    entry::EntryOptions options;
    options.server.address = this->settings.entry.listen.host;
    options.server.port = this->settings.entry.listen.port;
    options.server.maxConnections = static_cast<unsigned int>(this->settings.entry.maxConnections);
    options.server.maxBodyBytes = this->settings.entry.maxBodyBytes;
    options.server.headerLimit = this->settings.entry.requestRead;
    options.server.bodyLimit = this->settings.entry.requestRead;
    options.zone = this->settings.daemon.zone;
    options.zones = this->directory.zones();
    options.operatorKeyHash = this->settings.entry.operatorKeyHash;
    if (!this->settings.entry.upstreamKeyFile.empty()) {
        options.upstreamKeyHash = config::keyHash(readKeyFile(this->settings.entry.upstreamKeyFile));
    }
    options.stopGrace = LoadBalancerGrace;
    options.configurationUsable = [this] { return this->configuration->isReady(); };
    options.ready = [this] { return this->isReady(); };
    options.metricsText = [] { return observe::prometheusText(); };
    options.spans = [this](const std::string &id) { return this->spans->otlpJson(id); };
    this->entry = entry::EntryServerBuilder().options(options).dispatcher(dispatcher).configuration(this->configuration).build();
}

void Daemon::registerMessageHandlers()
{
    this->hub->onMessage(link::Channel::ZoneGroup, [this](const std::string &fromVm, const std::string &payload) {
        std::optional<ZoneFrame> frame = ZoneFrame::decode(payload);
        if (!frame) {
            return;
        }
        if (const auto member = this->zones.find(frame->zone); member != this->zones.end()) {
            member->second->receive(fromVm, std::move(frame->bytes));
        }
    });
    this->hub->onMessage(link::Channel::Gossip, [this](const std::string & /*fromVm*/, const std::string &payload) {
        if (const std::optional<zone::Beacon> beacon = zone::decodeBeacon(payload)) {
            this->directory.recordBeacon(*beacon, base::steadyNow());
        }
    });
}

void Daemon::registerZoneCallHandler()
{
    this->hub->onCall(link::Channel::Zone,
                      [this](const std::string & /*fromVm*/, const std::string &payload, const std::string &traceparent, const link::Responder &respond) {
                          const zone::ReplyCallback reply = [respond](const zone::ZoneReply &answer) { respond(zone::encodeReply(answer)); };
                          std::optional<zone::ZoneCall> call = zone::decodeCall(payload);
                          const auto member = call ? this->zones.find(call->zone) : this->zones.end();
                          if (member == this->zones.end()) {
                              zone::ZoneReply notMember;
                              notMember.code = base::ResultCode::NotLeader;
                              reply(notMember);
                              return;
                          }
                          member->second->call(std::move(*call), traceparent, reply);
                      });
}

void Daemon::sendBeacon(const zone::Beacon &beacon)
{
    this->directory.recordBeacon(beacon, base::steadyNow());
    const std::string payload = zone::encodeBeacon(beacon);
    for (const auto &[vm, peer] : this->settings.peers) {
        if (vm != this->settings.daemon.vm) {
            this->hub->send(vm, link::Channel::Gossip, payload);
        }
    }
}

bool Daemon::isReady() const
{
    return this->configuration->isReady() && this->directory.recentLoad(this->settings.daemon.zone, base::steadyNow()).has_value();
}

void Daemon::start()
{
    this->timers.start();
    this->hub->start();
    this->configuration->start();
    for (auto &[name, member] : this->zones) {
        member->start();
    }
    this->entry->start();
    this->started = true;
    Logger.info("Serving VM {} in zone {} on {}.", this->settings.daemon.vm, this->settings.daemon.zone, this->settings.entry.listen.toString());
}

bool Daemon::stopGracefully()
{
    this->started = false;
    Logger.info("Stopping: reporting not ready, transferring leadership, finishing requests in flight.");
    this->entry->beginStop();
    std::this_thread::sleep_for(LoadBalancerGrace);
    this->awaitRequestsInFlight(InFlightWaitLimit);
    for (auto &[name, member] : this->zones) {
        member->stopGroup(LeadershipTransferLimit);
    }
    const bool finished = this->entry->stop(this->settings.daemon.stopLimit);
    this->configuration->stop(LeadershipTransferLimit);
    for (auto &[name, member] : this->zones) {
        member->stop();
    }
    this->timers.stop();
    this->adapter->stop();
    this->hub->stop();
    Logger.info(finished ? "Stopped; all requests were answered." : "Stopped; some requests were answered with an unknown outcome.");
    return finished;
}

/// Lets most requests finish before leadership is transferred: no other daemon could take them over if this is the only one of its zone.
void Daemon::awaitRequestsInFlight(std::chrono::milliseconds limit) const
{
    const base::SteadyTime until = base::steadyNow() + limit;
    while (this->entry->inFlight() > 0 && base::steadyNow() < until) {
        std::this_thread::sleep_for(PollInterval);
    }
}

void Daemon::reloadKeys()
{
    try {
        this->hub->setKeys(linkKeys(this->settings.link));
        Logger.info("Reloaded the link keys.");
    } catch (const cranberryreel::base::Error &error) {
        Logger.error("Reloading the link keys failed, the previous keys stay in use: {}", error.what());
    }
}

} // namespace cranberryreel::daemon
