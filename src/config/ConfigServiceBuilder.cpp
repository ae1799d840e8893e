#include "config/ConfigServiceBuilder.h"

#include "cranberryreel/base/Error.h"
#include "replication/GroupBuilder.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr int TimingFactor = 3; // A change may take seconds to be in force; a slower pulse than the zones' saves bytes.
constexpr const char *GroupFolder = "/config-group";
constexpr const char *RevisionFolder = "/config";

} // namespace

ConfigServiceBuilder &ConfigServiceBuilder::settings(const settings::Settings &daemonSettings)
{
    this->given = daemonSettings;
    return *this;
}

ConfigServiceBuilder &ConfigServiceBuilder::hub(link::LinkHub &linkHub)
{
    this->links = &linkHub;
    return *this;
}

ConfigServiceBuilder &ConfigServiceBuilder::timings(const ConfigTimings &configTimings)
{
    this->serviceTimings = configTimings;
    return *this;
}

ConfigServiceBuilder &ConfigServiceBuilder::groupFactory(GroupFactory factory)
{
    this->ownFactory = std::move(factory);
    return *this;
}

std::unique_ptr<ReplicatedConfigService> ConfigServiceBuilder::build() const
{
    if (!this->given || this->links == nullptr) {
        throw base::Error(base::ResultCode::Internal, "a config service needs settings and a link hub");
    }
    return std::make_unique<ReplicatedConfigService>(this->options(), *this->links, this->ownFactory ? this->ownFactory : this->diskGroup());
}

ConfigServiceOptions ConfigServiceBuilder::options() const
{
    ConfigServiceOptions made;
    made.vm = this->given->daemon.vm;
    made.groupMembers = this->given->configGroup.members;
    made.timings = this->serviceTimings;
    if (!this->given->daemon.dataFolder.empty()) {
        made.dataFolder = this->given->daemon.dataFolder + RevisionFolder;
    }
    for (const auto &[vm, peer] : this->given->peers) {
        made.vms.push_back(vm);
        if (peer.zone == this->given->daemon.zone && vm != made.vm) {
            made.zonePeers.push_back(vm);
        }
    }
    return made;
}

GroupFactory ConfigServiceBuilder::diskGroup() const
{
    return [given = *this->given](replication::StateMachine &machine, replication::SendToMember send) {
        std::vector<replication::Member> members;
        for (const std::string &vm : given.configGroup.members) {
            members.push_back({vm, true, false});
        }
        replication::GroupTimings timings;
        timings.heartbeat = given.timing.groupHeartbeat * TimingFactor;
        timings.electionMin = given.timing.electionMin * TimingFactor;
        timings.electionMax = given.timing.electionMax * TimingFactor;
        timings.restartGrace = std::max(timings.restartGrace, timings.electionMax);
        timings.formationSettle = std::max(timings.formationSettle, timings.electionMax);
        return replication::GroupBuilder()
            .ownVm(given.daemon.vm)
            .members(members)
            .dataFolder(given.daemon.dataFolder + GroupFolder)
            .stateMachine(machine)
            .sendBy(std::move(send))
            .timings(timings)
            .snapshotEvery(given.limits.snapshotAfterEntries)
            .build();
    };
}

} // namespace cranberryreel::config
