#include "config/ChangeProposer.h"

#include "config/ConfigurationReader.h"
#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

namespace cranberryreel::config
{

namespace
{

constexpr std::size_t MaxIdBytes = 128;

MemberReply refusal(base::ResultCode code, const std::string &reason, std::uint64_t revision)
{
    return {{code, reason, revision, {}}, "", true};
}

/// Validates the change as the successor of `now`; returns code Ok or the first error.
ChangeReply validate(const Change &change, const RevisionTexts &now)
{
    try {
        const bool isRegister = change.part == ChangePart::Register;
        readConfiguration(now.revision + 1, isRegister ? change.text : now.registerText, isRegister ? now.rulesText : change.text);
    } catch (const base::Error &error) {
        return {error.code(), error.what(), now.revision, {}};
    }
    return {};
}

ChangeReply toChangeReply(const replication::ProposeResult &result)
{
    switch (result.code) {
    case base::ResultCode::Ok:
        return ConfigStore::decodeReply(result.result);
    case base::ResultCode::NotLeader:
        return {base::ResultCode::NotLeader, "", 0, {}};
    case base::ResultCode::NoDurableStore:
        return {base::ResultCode::NoDurableStore, "no member could sync the change to its disk; the change was not made", 0, {}};
    default:
        return {base::ResultCode::GroupUnavailable, "", 0, {}};
    }
}

} // namespace

ChangeProposer::ChangeProposer(std::shared_ptr<base::Mailbox> mailbox, const ConfigStore &configStore, replication::Group &configGroup)
    : worker(std::move(mailbox))
    , store(configStore)
    , group(configGroup)
{
}

void ChangeProposer::submit(const Change &change, SubmitDone done)
{
    if (const replication::GroupStatus status = this->group.status(); !status.leader) {
        done({{base::ResultCode::NotLeader, "", 0, {}}, status.leaderVm, true});
        return;
    }
    const RevisionTexts now = this->store.texts();
    if (change.id.empty() || change.id.size() > MaxIdBytes) {
        done(refusal(base::ResultCode::FieldOutOfRange, fmt::format("a change needs an id of 1 to {} bytes", MaxIdBytes), now.revision));
        return;
    }
    if (const auto earlier = this->store.findReply(change)) {
        done({*earlier, "", true});
        return;
    }
    if (change.fromRevision > now.revision) {
        done(refusal(base::ResultCode::RevisionConflict,
                     fmt::format("the change is based on a revision that does not exist yet; revision {} is in force", now.revision),
                     now.revision));
        return;
    }
    if (change.fromRevision == now.revision) {
        if (const ChangeReply problem = validate(change, now); problem.code != base::ResultCode::Ok) {
            done({problem, "", true});
            return;
        }
    }
    this->propose(change, now, std::move(done));
}

void ChangeProposer::propose(const Change &change, const RevisionTexts &now, SubmitDone done)
{
    auto decided = [mailbox = this->worker, done = std::move(done)](replication::ProposeResult result) {
        mailbox->post([done, result = std::move(result)] { done({toChangeReply(result), "", true}); });
    };
    this->group.propose(ConfigStore::encodeCommand(change, now), replication::Durability::SyncedDisk, std::move(decided));
}

} // namespace cranberryreel::config
