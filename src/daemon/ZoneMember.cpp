#include "daemon/ZoneMember.h"

#include "daemon/ZoneFrame.h"
#include "replication/GroupBuilder.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::daemon
{

namespace
{

zone::SchedulerOptions schedulerOptions(const settings::Settings &settings)
{
    zone::SchedulerOptions options;
    options.zone = settings.daemon.zone;
    options.ownVm = settings.daemon.vm;
    options.taskLease = settings.timing.taskLease;
    options.silentAfter = settings.timing.upstreamSilentAfter;
    options.startExpiry = settings.timing.startExpiry;
    options.renewEvery = std::min(options.renewEvery, settings.timing.taskLease / 3);
    options.resultRetention = settings.limits.requestRetention;
    options.keyRetention = settings.limits.keyRetention;
    return options;
}

std::vector<replication::Member> groupMembers(const settings::Settings &settings, const settings::ZoneSettings &zoneOfGroup)
{
    std::vector<replication::Member> members;
    for (const std::string &vm : zoneOfGroup.members) {
        members.push_back({vm, settings.peers.at(vm).hasDisk, false});
    }
    if (!zoneOfGroup.witness.empty()) {
        members.push_back({zoneOfGroup.witness, settings.peers.at(zoneOfGroup.witness).hasDisk, true});
    }
    return members;
}

replication::GroupTimings groupTimings(const settings::Settings &settings)
{
    replication::GroupTimings timings;
    timings.heartbeat = settings.timing.groupHeartbeat;
    timings.electionMin = settings.timing.electionMin;
    timings.electionMax = settings.timing.electionMax;
    timings.restartGrace = std::max(timings.restartGrace, timings.electionMax);
    timings.formationSettle = std::max(timings.formationSettle, timings.electionMax);
    return timings;
}

} // namespace

ZoneMember::ZoneMember(const settings::Settings &settings,
                       const settings::ZoneSettings &zoneOfGroup,
                       link::LinkHub &linkHub,
                       upstream::UpstreamAdapter &adapter,
                       config::ConfigService &configService,
                       const BeaconSender &beaconSender)
    : zoneSettings(zoneOfGroup)
    , ownVm(settings.daemon.vm)
{
    replication::GroupBuilder builder;
    builder.ownVm(this->ownVm)
        .members(groupMembers(settings, zoneOfGroup))
        .stateMachine(this->store)
        .timings(groupTimings(settings))
        .snapshotEvery(settings.limits.snapshotAfterEntries)
        .sendBy([&linkHub, zone = zoneOfGroup.zone](const std::string &toVm, std::string bytes) {
            linkHub.send(toVm, link::Channel::ZoneGroup, ZoneFrame{zone, std::move(bytes)}.encode());
        });
    if (!settings.daemon.dataFolder.empty()) {
        builder.dataFolder(settings.daemon.dataFolder + "/zone-" + zoneOfGroup.zone);
    }
    if (!this->isWitness()) {
        this->scheduler =
            std::make_unique<zone::ZoneScheduler>(schedulerOptions(settings), this->store, adapter, [&configService] { return configService.current(); });
        builder.listener(*this->scheduler);
    }
    this->group = builder.build();
    if (this->scheduler) {
        this->scheduler->attach(*this->group, beaconSender);
    }
}

ZoneMember::~ZoneMember()
{
    this->stop();
}

bool ZoneMember::isWitness() const
{
    return this->zoneSettings.witness == this->ownVm;
}

void ZoneMember::start()
{
    if (this->scheduler) {
        this->scheduler->start();
    }
    this->group->start();
}

void ZoneMember::stopGroup(std::chrono::milliseconds limit)
{
    this->group->stop(limit);
}

void ZoneMember::stop()
{
    if (this->scheduler) {
        this->scheduler->stop();
    }
}

void ZoneMember::receive(const std::string &fromVm, std::string bytes)
{
    this->group->receive(fromVm, std::move(bytes));
}

void ZoneMember::call(zone::ZoneCall zoneCall, std::string traceparent, zone::Reply reply)
{
    if (this->scheduler) {
        this->scheduler->call(std::move(zoneCall), std::move(traceparent), std::move(reply));
        return;
    }
    zone::ZoneReply notLeader;
    notLeader.code = base::ResultCode::NotLeader;
    notLeader.leader = this->group->status().leaderVm;
    reply(notLeader);
}

void ZoneMember::configurationChanged()
{
    if (this->scheduler) {
        this->scheduler->configurationChanged();
    }
}

replication::GroupStatus ZoneMember::status() const
{
    return this->group->status();
}

} // namespace cranberryreel::daemon
