#include "config/ConfigStore.h"

#include "config/TextDelta.h"
#include "config/WireCodec.h"
#include "cranberryreel/base/Error.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cranberryreel::config
{

namespace
{

constexpr std::uint32_t SnapshotFormat = 1;

std::string encodeReply(const ChangeReply &reply)
{
    wire::ChangeAnswerT answer;
    answer.code = static_cast<std::int32_t>(reply.code);
    answer.reason = reply.reason;
    answer.revision = reply.revision;
    return encode(answer);
}

} // namespace

ChangeDigest ChangeDigest::compute(const Change &change)
{
    wire::ChangeCallT whole;
    whole.id = change.id;
    whole.from_revision = change.fromRevision;
    whole.part = static_cast<std::uint8_t>(change.part);
    whole.text = change.text;
    const std::string bytes = encode(whole);
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.low64, hash.high64};
}

ConfigStore::ConfigStore(const ConfigStoreOptions &storeOptions)
    : options(storeOptions)
{
}

void ConfigStore::onRevision(std::function<void(const RevisionTexts &)> revisionListener)
{
    this->listener = std::move(revisionListener);
}

std::string ConfigStore::encodeCommand(const Change &change, const RevisionTexts &now)
{
    const ChangeDigest digest = ChangeDigest::compute(change);
    wire::ChangeEntryT entry;
    entry.id = change.id;
    entry.from_revision = change.fromRevision;
    entry.part = static_cast<std::uint8_t>(change.part);
    entry.digest_low = digest.low;
    entry.digest_high = digest.high;
    if (change.fromRevision == now.revision) {
        const TextDelta delta = TextDelta::between(change.part == ChangePart::Register ? now.registerText : now.rulesText, change.text);
        entry.delta = std::make_unique<wire::DeltaT>();
        entry.delta->prefix_bytes = delta.prefixBytes;
        entry.delta->suffix_bytes = delta.suffixBytes;
        entry.delta->middle = delta.middle;
    }
    return encode(entry);
}

ChangeReply ConfigStore::decodeReply(std::string_view result)
{
    const auto answer = decode<wire::ChangeAnswerT>(result);
    if (!answer) {
        return {base::ResultCode::Internal, "the answer of the configuration group cannot be decoded", 0, {}};
    }
    return {static_cast<base::ResultCode>(answer->code), answer->reason, answer->revision, {}};
}

std::string ConfigStore::apply(std::uint64_t /*index*/, std::string_view command)
{
    const auto decoded = decode<wire::ChangeEntryT>(command);
    if (!decoded) {
        return encodeReply({base::ResultCode::Internal, "the command cannot be decoded", 0, {}});
    }
    ChangeReply reply;
    std::optional<RevisionTexts> made;
    {
        absl::MutexLock lock(&this->mutex);
        const std::uint64_t before = this->current.revision;
        reply = this->applyOnce(*decoded);
        if (this->current.revision > before) {
            made = this->current;
        }
    }
    if (made && this->listener) {
        this->listener(*made);
    }
    return encodeReply(reply);
}

ChangeReply ConfigStore::applyOnce(const wire::ChangeEntryT &entry)
{
    const ChangeDigest digest{entry.digest_low, entry.digest_high};
    if (const auto earlier = this->findReplyById(entry.id, digest)) {
        return *earlier;
    }
    const base::ResultCode code = entry.from_revision == this->current.revision ? this->applyDelta(entry) : base::ResultCode::RevisionConflict;
    this->storeAnswer(entry.id, {digest, code, this->current.revision});
    return makeReply(code, this->current.revision);
}

base::ResultCode ConfigStore::applyDelta(const wire::ChangeEntryT &entry)
{
    std::string &text = static_cast<ChangePart>(entry.part) == ChangePart::Register ? this->current.registerText : this->current.rulesText;
    const auto changed = entry.delta ? TextDelta{entry.delta->prefix_bytes, entry.delta->suffix_bytes, entry.delta->middle}.applyTo(text) : std::nullopt;
    if (!changed) {
        return base::ResultCode::RevisionConflict;
    }
    text = *changed;
    this->current.revision++;
    return base::ResultCode::Ok;
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
        const StoredAnswer &answer = this->answers.at(id);
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
        throw base::Error(base::ResultCode::SnapshotCorrupt, "the configuration snapshot cannot be decoded");
    }
    const RevisionTexts restored{snapshot->revision, snapshot->register_text, snapshot->rules_text};
    {
        absl::MutexLock lock(&this->mutex);
        this->current = restored;
        this->answers.clear();
        this->answerOrder.clear();
        for (const auto &kept : snapshot->answers) {
            this->storeAnswer(kept->id, {{kept->digest_low, kept->digest_high}, static_cast<base::ResultCode>(kept->code), kept->revision});
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

std::optional<ChangeReply> ConfigStore::findReply(const Change &change) const
{
    absl::ReaderMutexLock lock(&this->mutex);
    return this->findReplyById(change.id, ChangeDigest::compute(change));
}

std::optional<ChangeReply> ConfigStore::findReplyById(const std::string &id, const ChangeDigest &digest) const
{
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return std::nullopt;
    }
    if (!(found->second.digest == digest)) {
        return ChangeReply{base::ResultCode::ChangeIdReused, "this change id belongs to another change; choose a new one", this->current.revision, {}};
    }
    return makeReply(found->second.code, found->second.revision);
}

ChangeReply ConfigStore::makeReply(base::ResultCode code, std::uint64_t revision)
{
    std::string reason;
    if (code == base::ResultCode::RevisionConflict) {
        reason = fmt::format("the change conflicts with revision {}; base the change on that revision and send it again", revision);
    }
    return {code, reason, revision, {}};
}

void ConfigStore::storeAnswer(const std::string &id, const StoredAnswer &answer)
{
    if (!this->answers.emplace(id, answer).second) {
        return;
    }
    this->answerOrder.push_back(id);
    while (this->answerOrder.size() > this->options.maxAnswers) {
        this->answers.erase(this->answerOrder.front());
        this->answerOrder.pop_front();
    }
}

} // namespace cranberryreel::config
