#include "config/ChangeKeeper.h"

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

/// What is wrong with the change as a successor of `now`; Ok when nothing is.
ChangeReply checked(const Change &change, const RevisionTexts &now)
{
    try {
        const bool isRegister = change.part == ChangePart::Register;
        readConfiguration(now.revision + 1, isRegister ? change.text : now.registerText, isRegister ? now.rulesText : change.text);
    } catch (const base::Error &error) {
        return {error.code(), error.what(), now.revision, {}};
    }
    return {};
}

ChangeReply replyTo(const replication::ProposeResult &result)
{
    switch (result.code) {
    case base::ResultCode::Ok:
        return ConfigStore::reply(result.result);
    case base::ResultCode::NotLeader:
        return {base::ResultCode::NotLeader, "", 0, {}};
    case base::ResultCode::NoDurableStore:
        return {base::ResultCode::NoDurableStore, "no synced disk could take the change; it was not made", 0, {}};
    default:
        return {base::ResultCode::GroupUnavailable, "", 0, {}};
    }
}

} // namespace

ChangeKeeper::ChangeKeeper(std::shared_ptr<base::Mailbox> mailbox, const ConfigStore &configStore, replication::Group &configGroup)
    : worker(std::move(mailbox))
    , store(configStore)
    , group(configGroup)
{
}

void ChangeKeeper::keep(const Change &change, KeepDone done)
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
    if (const auto kept = this->store.answerTo(change)) {
        done({*kept, "", true});
        return;
    }
    if (change.fromRevision > now.revision) {
        done(refusal(base::ResultCode::RevisionConflict, fmt::format("revision {} is in force; there is none so high yet", now.revision), now.revision));
        return;
    }
    if (change.fromRevision == now.revision) {
        if (const ChangeReply complaint = checked(change, now); complaint.code != base::ResultCode::Ok) {
            done({complaint, "", true});
            return;
        }
    }
    this->propose(change, now, std::move(done));
}

void ChangeKeeper::propose(const Change &change, const RevisionTexts &now, KeepDone done)
{
    auto decided = [mailbox = this->worker, done = std::move(done)](replication::ProposeResult result) {
        mailbox->post([done, result = std::move(result)] { done({replyTo(result), "", true}); });
    };
    this->group.propose(ConfigStore::command(change, now), replication::Durability::SyncedDisk, std::move(decided));
}

} // namespace cranberryreel::config
