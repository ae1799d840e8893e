#pragma once

#include "config/ConfigPeers.h"
#include "config/ConfigServiceOptions.h"
#include "cranberryreel/base/Clock.h"

#include <memory>
#include <string>

namespace cranberryreel::config
{

/// Brings an operator's change to the group's leader, wherever that is. A member that gives no answer may have kept the change, so it is sent again with its
/// id, which counts it once. Owned by the config service; runs in its worker's tasks.
class ChangeRouter
{
public:
    ChangeRouter(const ConfigServiceOptions &options, ConfigPeers &peers, std::shared_ptr<base::Mailbox> worker);

    void route(const Change &change, ChangeDone done);

private:
    struct Journey {
        Change change;
        ChangeDone done;
        base::SteadyTime deadline;
        std::string next; ///< Member to try next; empty: the next in turn.
        std::size_t turn = 0;
        bool mayBeKept = false; ///< Some member got the change and did not answer.
    };

    void tryNext(const std::shared_ptr<Journey> &journey);
    void answered(const std::shared_ptr<Journey> &journey, const std::string &member, const MemberReply &reply);
    void retry(const std::shared_ptr<Journey> &journey);
    std::string nextMember(Journey &journey) const;

    const ConfigServiceOptions &options;
    ConfigPeers &peers;
    const std::shared_ptr<base::Mailbox> worker;
    std::string lastLeader; ///< Asked first; a change is large, and each wrong member costs its size.
};

} // namespace cranberryreel::config
