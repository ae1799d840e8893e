#pragma once

#include "base/Mailbox.h"
#include "config/ChangeKeeper.h"
#include "config/ChangeRouter.h"
#include "config/ConfigPeers.h"
#include "config/ConfigService.h"
#include "config/ConfigServiceOptions.h"
#include "config/ConfigStore.h"
#include "config/InForce.h"
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

/// Makes this VM's member of the configuration group around its state machine.
using GroupFactory = std::function<std::unique_ptr<replication::Group>(replication::StateMachine &machine, replication::SendToMember send)>;

/// The configuration of a deployment as one VM has it: kept by a replication group on a few VMs with disks, fetched by all others over the links. Built by
/// ConfigServiceBuilder; owned by the daemon. The hub must be stopped before this is destroyed.
class ReplicatedConfigService : public ConfigService
{
public:
    /// `makeGroup` is called on members of the group only. Takes the hub's channels Config and ConfigGroup.
    ReplicatedConfigService(const ConfigServiceOptions &options, link::LinkHub &hub, const GroupFactory &makeGroup);
    ~ReplicatedConfigService() override;

    /// After the hub's start.
    void start();

    /// Hands leadership of the group over where it is here; returns within the limit.
    void stop(std::chrono::milliseconds limit);

    /// True once this VM may serve: what is in force here is no older than what it served on before a restart.
    bool isReady() const;

    /// This VM's standing in the configuration group; empty where it is no member.
    std::optional<replication::GroupStatus> groupStatus() const;

    std::shared_ptr<const Configuration> current() const override;
    void onChange(std::function<void(std::shared_ptr<const Configuration>)> listener) override;
    void change(Change change, ChangeDone done) override;
    void status(StatusDone done) override;

private:
    void showFigures();
    void makeMember(const GroupFactory &makeGroup);
    void receiveMessages();
    void receiveCalls();
    void tick();
    void answer(const std::string &payload, const link::Responder &respond);
    void answerFetch(std::uint64_t have, bool confirmed, const link::Responder &respond);
    void answerFetchNow(std::uint64_t have, const link::Responder &respond);
    void answerChange(const Change &change, const link::Responder &respond);
    void tellWhereInForce(const ChangeReply &reply, const ChangeDone &done);

    const ConfigServiceOptions options;
    link::LinkHub &hub;
    const std::shared_ptr<base::Mailbox> worker;
    const std::shared_ptr<InForce> inForce;
    const std::shared_ptr<std::atomic<bool>> caughtUp = std::make_shared<std::atomic<bool>>(false); ///< For the figures.
    ConfigPeers peers;
    RevisionExchange exchange;
    StartCheck startCheck;
    ChangeRouter router;
    RevisionSurvey survey;
    std::unique_ptr<ConfigStore> store; ///< These three on members of the group only.
    std::unique_ptr<replication::Group> group;
    std::unique_ptr<ChangeKeeper> keeper;
};

} // namespace cranberryreel::config
