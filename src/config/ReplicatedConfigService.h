#pragma once

#include "base/Mailbox.h"
#include "config/ActiveConfiguration.h"
#include "config/ChangeProposer.h"
#include "config/ChangeRouter.h"
#include "config/ConfigPeers.h"
#include "config/ConfigService.h"
#include "config/ConfigServiceOptions.h"
#include "config/ConfigStore.h"
#include "config/RevisionExchange.h"
#include "config/RevisionSurvey.h"
#include "config/StartCheck.h"
#include "link/LinkHub.h"
#include "replication/Group.h"
#include "replication/StateMachine.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace cranberryreel::config
{

/// Creates this VM's member of the configuration group for the given state machine.
using GroupFactory = std::function<std::unique_ptr<replication::Group>(replication::StateMachine &machine, replication::SendToMember send)>;

/// Config service backed by a replication group: a few VMs with disks store the configuration, all others fetch it over the links. Built by
/// ConfigServiceBuilder; owned by the daemon. The hub must be stopped before the service is destroyed.
class ReplicatedConfigService : public ConfigService
{
public:
    /// `makeGroup` is called on members of the group only. The service registers handlers for the hub's channels Config and ConfigGroup.
    ReplicatedConfigService(const ConfigServiceOptions &options, link::LinkHub &hub, const GroupFactory &makeGroup);
    ~ReplicatedConfigService() override;

    /// Call after the hub has started.
    void start();

    /// Transfers leadership of the group if this VM leads it; returns within the limit.
    void stop(std::chrono::milliseconds limit);

    /// True once this VM may serve: the revision in force here is no older than any that this VM served before a restart.
    bool isReady() const;

    /// This VM's status in the configuration group; nullopt if it is not a member.
    std::optional<replication::GroupStatus> groupStatus() const;

    std::shared_ptr<const Configuration> current() const override;
    void onChange(std::function<void(std::shared_ptr<const Configuration>)> listener) override;
    void change(Change change, ChangeDone done) override;
    void status(StatusDone done) override;

private:
    void registerMetrics();
    void createGroupMember(const GroupFactory &makeGroup);
    void registerMessageHandlers();
    void registerCallHandler();
    void tick();
    void answerCall(const std::string &payload, const link::Responder &respond);
    void answerFetch(std::uint64_t knownRevision, bool confirmed, const link::Responder &respond);
    void answerFetchWithCurrent(std::uint64_t knownRevision, const link::Responder &respond);
    void answerChange(const Change &change, const link::Responder &respond);
    void replyWhenActive(const ChangeReply &reply, const ChangeDone &done);

    const ConfigServiceOptions options;
    link::LinkHub &hub;
    const std::shared_ptr<base::Mailbox> worker;
    const std::shared_ptr<ActiveConfiguration> active;
    const std::shared_ptr<std::atomic<bool>> caughtUp = std::make_shared<std::atomic<bool>>(false); ///< Read by the metrics, which may outlive the service.
    ConfigPeers peers;
    RevisionExchange exchange;
    StartCheck startCheck;
    ChangeRouter router;
    RevisionSurvey survey;
    std::unique_ptr<ConfigStore> store; ///< Null, like the next two, unless this VM is a member of the group.
    std::unique_ptr<replication::Group> group;
    std::unique_ptr<ChangeProposer> proposer;
};

} // namespace cranberryreel::config
