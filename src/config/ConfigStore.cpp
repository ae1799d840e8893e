#include "config/ConfigStore.h"

#include "config/WireCodec.h"
#include "cranberryreel/base/Error.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cranberryreel::config
{

namespace
{

constexpr std::uint32_t SnapshotFormat = 1;

Change changeOf(const wire::ChangeCommandT &command)
{
    return {command.id, command.from_revision, static_cast<ChangePart>(command.part), command.text};
}

wire::ChangeCommandT commandOf(const Change &change)
{
    wire::ChangeCommandT command;
    command.id = change.id;
    command.from_revision = change.fromRevision;
    command.part = static_cast<std::uint8_t>(change.part);
    command.text = change.text;
    return command;
}

std::string resultOf(const ChangeReply &reply)
{
    wire::ChangeAnswerT answer;
    answer.code = static_cast<std::int32_t>(reply.code);
    answer.reason = reply.reason;
    answer.revision = reply.revision;
    return encode(answer);
}

} // namespace

ConfigStore::ConfigStore(const ConfigStoreOptions &storeOptions)
    : options(storeOptions)
{
}

void ConfigStore::onRevision(std::function<void(const RevisionTexts &)> revisionListener)
{
    this->listener = std::move(revisionListener);
}

std::string ConfigStore::command(const Change &change)
{
    return encode(commandOf(change));
}

ChangeReply ConfigStore::reply(std::string_view result)
{
    const auto answer = decode<wire::ChangeAnswerT>(result);
    if (!answer) {
        return {base::ResultCode::Internal, "the configuration group's answer cannot be read", 0, {}};
    }
    return {static_cast<base::ResultCode>(answer->code), answer->reason, answer->revision, {}};
}

std::string ConfigStore::apply(std::uint64_t /*index*/, std::string_view command)
{
    const auto decoded = decode<wire::ChangeCommandT>(command);
    if (!decoded) {
        return resultOf({base::ResultCode::Internal, "the command cannot be read", 0, {}});
    }
    ChangeReply reply;
    std::optional<RevisionTexts> made;
    {
        absl::MutexLock lock(&this->mutex);
        const std::uint64_t before = this->current.revision;
        reply = this->decide(changeOf(*decoded));
        if (this->current.revision > before) {
            made = this->current;
        }
    }
    if (made && this->listener) {
        this->listener(*made);
    }
    return resultOf(reply);
}

ChangeReply ConfigStore::decide(const Change &change)
{
    if (const auto kept = this->keptReply(change)) {
        return *kept;
    }
    base::ResultCode code = base::ResultCode::RevisionConflict;
    if (change.fromRevision == this->current.revision) {
        std::string &text = change.part == ChangePart::Register ? this->current.registerText : this->current.rulesText;
        text = change.text;
        this->current.revision++;
        code = base::ResultCode::Ok;
    }
    this->keep(change.id, {digestOf(change), code, this->current.revision});
    return replyOf(code, this->current.revision);
}

std::string ConfigStore::snapshot() const
{
    absl::ReaderMutexLock lock(&this->mutex);
    wire::SnapshotT snapshot;
    snapshot.format = SnapshotFormat;
    snapshot.revision = this->current.revision;
    snapshot.register_text = this->current.registerText;
    snapshot.rules_text = this->current.rulesText;
    for (const std::string &id : this->answerOrder) {
        const KeptAnswer &answer = this->answers.at(id);
        auto kept = std::make_unique<wire::KeptAnswerT>();
        kept->id = id;
        kept->digest_low = answer.digest.low;
        kept->digest_high = answer.digest.high;
        kept->code = static_cast<std::int32_t>(answer.code);
        kept->revision = answer.revision;
        snapshot.answers.push_back(std::move(kept));
    }
    return encode(snapshot);
}

void ConfigStore::restore(std::string_view bytes)
{
    const auto snapshot = decode<wire::SnapshotT>(bytes);
    if (!snapshot || snapshot->format != SnapshotFormat) {
        throw base::Error(base::ResultCode::SnapshotCorrupt, "the configuration's snapshot cannot be read");
    }
    const RevisionTexts restored{snapshot->revision, snapshot->register_text, snapshot->rules_text};
    {
        absl::MutexLock lock(&this->mutex);
        this->current = restored;
        this->answers.clear();
        this->answerOrder.clear();
        for (const auto &kept : snapshot->answers) {
            this->keep(kept->id, {{kept->digest_low, kept->digest_high}, static_cast<base::ResultCode>(kept->code), kept->revision});
        }
    }
    if (this->listener) {
        this->listener(restored);
    }
}

RevisionTexts ConfigStore::texts() const
{
    absl::ReaderMutexLock lock(&this->mutex);
    return this->current;
}

std::optional<ChangeReply> ConfigStore::answerTo(const Change &change) const
{
    absl::ReaderMutexLock lock(&this->mutex);
    return this->keptReply(change);
}

std::optional<ChangeReply> ConfigStore::keptReply(const Change &change) const
{
    const auto found = this->answers.find(change.id);
    if (found == this->answers.end()) {
        return std::nullopt;
    }
    if (!(found->second.digest == digestOf(change))) {
        return ChangeReply{base::ResultCode::ChangeIdReused, "this change id stands for another change; choose a new one", this->current.revision, {}};
    }
    return replyOf(found->second.code, found->second.revision);
}

ConfigStore::Digest ConfigStore::digestOf(const Change &change)
{
    const std::string bytes = command(change);
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.low64, hash.high64};
}

ChangeReply ConfigStore::replyOf(base::ResultCode code, std::uint64_t revision)
{
    std::string reason;
    if (code == base::ResultCode::RevisionConflict) {
        reason = fmt::format("revision {} was made meanwhile; look at it and make the change from there", revision);
    }
    return {code, reason, revision, {}};
}

void ConfigStore::keep(const std::string &id, const KeptAnswer &answer)
{
    if (!this->answers.emplace(id, answer).second) {
        return;
    }
    this->answerOrder.push_back(id);
    while (this->answerOrder.size() > this->options.keptAnswers) {
        this->answers.erase(this->answerOrder.front());
        this->answerOrder.pop_front();
    }
}

} // namespace cranberryreel::config
