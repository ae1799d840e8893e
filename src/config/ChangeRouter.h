#pragma once

#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"
#include "cranberryreel/base/Clock.h"

#include <memory>
#include <string>

namespace cranberryreel::config
{

/// Sends an operator's change to the leader of the configuration group. A member that does not answer may have committed the change, so the change is sent
/// again with the same id, and the group applies it only once. Owned by the config service; runs in its worker's tasks.
class ChangeRouter
{
public:
    ChangeRouter(const ConfigServiceOptions &options, ConfigPeers &peers, std::shared_ptr<base::Mailbox> worker);

    void route(const Change &change, ChangeDone done);

private:
    struct PendingChange {
        Change change;
        ChangeDone done;
        base::SteadyTime deadline;
        std::string next; ///< Member to try next; empty: the member at nextIndex.
        std::size_t nextIndex = 0;
        bool mayBeCommitted = false; ///< A member received the change and did not answer.
    };

    void sendToNextMember(const std::shared_ptr<PendingChange> &pending);
    void onReply(const std::shared_ptr<PendingChange> &pending, const std::string &member, const MemberReply &reply);
    void retry(const std::shared_ptr<PendingChange> &pending);
    std::string nextMember(PendingChange &pending) const;

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    const std::shared_ptr<base::Mailbox> worker;
    std::string lastLeader; ///< Tried first: a change is large, and each wrong member costs one transfer.
};

} // namespace cranberryreel::config
