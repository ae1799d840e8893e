#pragma once

#include "base/Mailbox.h"
#include "config/ConfigPeers.h"
#include "config/ConfigStore.h"
#include "replication/Group.h"

#include <functional>
#include <memory>

namespace cranberryreel::config
{

/// Checks changes and proposes them to the configuration group, on the VM that leads it; other members answer NotLeader. Owned by the config service; runs
/// in its worker's tasks.
class ChangeProposer
{
public:
    using SubmitDone = std::function<void(MemberReply)>;

    ChangeProposer(std::shared_ptr<base::Mailbox> worker, const ConfigStore &store, replication::Group &group);

    void submit(const Change &change, SubmitDone done);

private:
    void propose(const Change &change, const RevisionTexts &now, SubmitDone done);

    const std::shared_ptr<base::Mailbox> worker;
    const ConfigStore &store;
    replication::Group &group;
};

} // namespace cranberryreel::config
