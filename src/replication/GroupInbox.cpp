#include "replication/GroupInbox.h"

namespace cranberryreel::replication
{

void GroupInbox::rejectAll() const
{
    for (const GroupInbox::Proposal &proposal : this->proposals) {
        proposal.done(ProposeResult{base::ResultCode::NotLeader, ""});
    }
    for (const GroupInbox::MembersChange &change : this->changes) {
        change.done(ProposeResult{base::ResultCode::NotLeader, ""});
    }
    for (const auto &done : this->reads) {
        done(base::ResultCode::GroupUnavailable);
    }
}

} // namespace cranberryreel::replication
