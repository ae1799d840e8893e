#pragma once

#include "base/Mailbox.h"
#include "config/ConfigPeers.h"
#include "config/ConfigStore.h"
#include "replication/Group.h"

#include <functional>
#include <memory>

namespace cranberryreel::config
{

/// A group member's side of changes: the leader checks them and proposes them. Owned by the config service; runs in its worker's tasks.
class ChangeKeeper
{
public:
    using KeepDone = std::function<void(MemberReply)>;

    ChangeKeeper(std::shared_ptr<base::Mailbox> worker, const ConfigStore &store, replication::Group &group);

    void keep(const Change &change, KeepDone done);

private:
    void propose(const Change &change, const RevisionTexts &now, KeepDone done);

    const std::shared_ptr<base::Mailbox> worker;
    const ConfigStore &store;
    replication::Group &group;
};

} // namespace cranberryreel::config
