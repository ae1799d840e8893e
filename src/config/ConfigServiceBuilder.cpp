#include "config/ConfigServiceBuilder.h"

#include "cranberryreel/base/Error.h"
#include "replication/GroupBuilder.h"

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr int TimingFactor = 3; // A change may take seconds to take effect; heartbeats slower than the zones' save bytes.
constexpr const char *GroupFolder = "/config-group";
constexpr const char *RevisionFolder = "/config";

} // namespace

ConfigServiceBuilder &ConfigServiceBuilder::settings(const settings::Settings &daemonSettings)
{
    this->deploymentSettings = daemonSettings;
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
    this->customGroupFactory = std::move(factory);
    return *this;
}

std::unique_ptr<ReplicatedConfigService> ConfigServiceBuilder::build() const
{
    if (!this->deploymentSettings || this->links == nullptr) {
        throw base::Error(base::ResultCode::Internal, "a config service needs settings and a link hub");
    }
    return std::make_unique<ReplicatedConfigService>(
        this->options(), *this->links, this->customGroupFactory ? this->customGroupFactory : this->diskGroupFactory());
}

ConfigServiceOptions ConfigServiceBuilder::options() const
{
    ConfigServiceOptions result;
    result.vm = this->deploymentSettings->daemon.vm;
    result.groupMembers = this->deploymentSettings->configGroup.members;
    result.timings = this->serviceTimings;
    if (!this->deploymentSettings->daemon.dataFolder.empty()) {
        result.dataFolder = this->deploymentSettings->daemon.dataFolder + RevisionFolder;
    }
    for (const auto &[vm, peer] : this->deploymentSettings->peers) {
        result.vms.push_back(vm);
        if (peer.zone == this->deploymentSettings->daemon.zone && vm != result.vm) {
            result.zonePeers.push_back(vm);
        }
    }
    return result;
}

GroupFactory ConfigServiceBuilder::diskGroupFactory() const
{
    return [deploymentSettings = *this->deploymentSettings](replication::StateMachine &machine, replication::SendToMember send) {
        std::vector<replication::Member> members;
        for (const std::string &vm : deploymentSettings.configGroup.members) {
            members.push_back({vm, true, false});
        }
        replication::GroupTimings timings;
        timings.heartbeat = deploymentSettings.timing.groupHeartbeat * TimingFactor;
        timings.electionMin = deploymentSettings.timing.electionMin * TimingFactor;
        timings.electionMax = deploymentSettings.timing.electionMax * TimingFactor;
        timings.restartGrace = std::max(timings.restartGrace, timings.electionMax);
        timings.formationSettle = std::max(timings.formationSettle, timings.electionMax);
        return replication::GroupBuilder()
            .ownVm(deploymentSettings.daemon.vm)
            .members(members)
            .dataFolder(deploymentSettings.daemon.dataFolder + GroupFolder)
            .stateMachine(machine)
            .sendBy(std::move(send))
            .timings(timings)
            .snapshotEvery(deploymentSettings.limits.snapshotAfterEntries)
            .build();
    };
}

} // namespace cranberryreel::config
