#include "replication/Codec.h"

#include "replication/generated/replication_generated.h"

#include "cranberryreel/base/Error.h"

#include <xxhash.h>

#include <cstring>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

using Builder = flatbuffers::FlatBufferBuilder;
using Bytes = flatbuffers::Vector<std::uint8_t>;
template<typename T>
using Tables = flatbuffers::Vector<flatbuffers::Offset<T>>;

constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);
constexpr std::uint8_t LastMessageKind = static_cast<std::uint8_t>(MessageKind::FormReply);
constexpr std::uint8_t LastEntryKind = static_cast<std::uint8_t>(EntryKind::Formation);
constexpr std::uint8_t LastStanding = static_cast<std::uint8_t>(Standing::Full);

flatbuffers::Offset<Bytes> putBytes(Builder &builder, std::string_view bytes)
{
    return bytes.empty() ? 0 : builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

std::string getBytes(const Bytes *bytes)
{
    return bytes == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(bytes->data()), bytes->size());
}

std::string getString(const flatbuffers::String *string)
{
    return string == nullptr ? std::string() : string->str();
}

flatbuffers::Offset<Tables<wire::Entry>> putEntries(Builder &builder, const std::vector<Entry> &entries)
{
    if (entries.empty()) {
        return 0;
    }
    std::vector<flatbuffers::Offset<wire::Entry>> offsets;
    offsets.reserve(entries.size());
    for (const Entry &entry : entries) {
        const auto data = putBytes(builder, entry.data);
        offsets.push_back(wire::CreateEntry(builder, entry.index, entry.term, static_cast<std::uint8_t>(entry.kind), data));
    }
    return builder.CreateVector(offsets);
}

bool getEntries(const Tables<wire::Entry> *tables, std::vector<Entry> &entries)
{
    if (tables == nullptr) {
        return true;
    }
    entries.reserve(tables->size());
    for (const wire::Entry *table : *tables) {
        const bool follows = entries.empty() ? table->index() > 0 : table->index() == entries.back().index + 1;
        if (!follows || table->kind() > LastEntryKind) {
            return false;
        }
        entries.push_back(Entry{table->index(), table->term(), static_cast<EntryKind>(table->kind()), getBytes(table->data())});
    }
    return true;
}

template<typename Boots>
flatbuffers::Offset<Tables<wire::MemberBoot>> putBoots(Builder &builder, const Boots &boots)
{
    if (boots.empty()) {
        return 0;
    }
    std::vector<flatbuffers::Offset<wire::MemberBoot>> offsets;
    offsets.reserve(boots.size());
    for (const auto &[vm, boot] : boots) {
        offsets.push_back(wire::CreateMemberBoot(builder, builder.CreateString(vm), boot));
    }
    return builder.CreateVector(offsets);
}

flatbuffers::Offset<Tables<wire::LogPosition>> putPositions(Builder &builder, const std::map<std::string, LogPosition> &positions)
{
    if (positions.empty()) {
        return 0;
    }
    std::vector<flatbuffers::Offset<wire::LogPosition>> offsets;
    offsets.reserve(positions.size());
    for (const auto &[vm, position] : positions) {
        offsets.push_back(wire::CreateLogPosition(builder, builder.CreateString(vm), position.term, position.index));
    }
    return builder.CreateVector(offsets);
}

flatbuffers::Offset<wire::GroupRecord> putRecord(Builder &builder, const GroupRecord &record)
{
    std::vector<flatbuffers::Offset<wire::Member>> members;
    for (const Member &member : record.members.all()) {
        members.push_back(wire::CreateMember(builder, builder.CreateString(member.vm), member.hasDisk, member.witness));
    }
    const auto boots = putBoots(builder, record.admittedBoots);
    return wire::CreateGroupRecord(builder, builder.CreateVector(members), boots, record.formationTerm);
}

std::optional<GroupRecord> getRecord(const wire::GroupRecord *table)
{
    GroupRecord record;
    if (table->members() != nullptr && table->members()->size() > 0) {
        std::vector<Member> members;
        for (const wire::Member *member : *table->members()) {
            members.push_back(Member{getString(member->vm()), member->has_disk(), member->witness()});
        }
        try {
            record.members = Membership(std::move(members));
        } catch (const base::Error &) {
            return std::nullopt;
        }
    }
    if (table->boots() != nullptr) {
        for (const wire::MemberBoot *boot : *table->boots()) {
            record.admittedBoots[getString(boot->vm())] = boot->boot();
        }
    }
    record.formationTerm = table->formation_term();
    return record;
}

template<typename T>
std::string finish(Builder &builder, wire::Content type, flatbuffers::Offset<T> content)
{
    builder.Finish(wire::CreateEnvelope(builder, type, content.Union()));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

/// Returns null for bytes that fail verification. `bytes` must be aligned for FlatBuffers; see AlignedBytes.
const wire::Envelope *verifiedEnvelope(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    return wire::VerifyEnvelopeBuffer(verifier) ? wire::GetEnvelope(bytes.data()) : nullptr;
}

/// A copy of bytes, aligned as FlatBuffers requires.
class AlignedBytes
{
public:
    explicit AlignedBytes(std::string_view bytes)
        : words((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t))
        , size(bytes.size())
    {
        if (!bytes.empty()) {
            std::memcpy(this->words.data(), bytes.data(), bytes.size());
        }
    }

    std::string_view view() const
    {
        return {reinterpret_cast<const char *>(this->words.data()), this->size};
    }

private:
    std::vector<std::uint64_t> words;
    std::size_t size;
};

} // namespace

std::string Codec::encode(const Message &message)
{
    Builder builder;
    const auto data = putBytes(builder, message.data);
    const auto entries = putEntries(builder, message.entries);
    const auto positions = putPositions(builder, message.acknowledged);
    std::map<std::string, std::uint64_t> bootByVm;
    for (const MemberBoot &member : message.boots) {
        bootByVm[member.vm] = member.boot;
    }
    const auto boots = putBoots(builder, bootByVm);
    wire::MessageBuilder table(builder);
    table.add_kind(static_cast<std::uint8_t>(message.kind));
    table.add_boot(message.boot);
    table.add_term(message.term);
    table.add_sequence(message.sequence);
    table.add_index(message.index);
    table.add_log_term(message.logTerm);
    table.add_commit(message.commit);
    table.add_granted(message.granted);
    table.add_standing(static_cast<std::uint8_t>(message.standing));
    table.add_handover_term(message.handoverTerm);
    table.add_offset(message.offset);
    table.add_total(message.total);
    table.add_data(data);
    table.add_entries(entries);
    table.add_acknowledged(positions);
    table.add_boots(boots);
    table.add_commit_term(message.commitTerm);
    return finish(builder, wire::Content::Message, table.Finish());
}

std::optional<Message> Codec::decodeMessage(std::string_view bytes)
{
    const AlignedBytes aligned(bytes);
    const wire::Envelope *envelope = verifiedEnvelope(aligned.view());
    const wire::Message *table = envelope == nullptr ? nullptr : envelope->content_as_Message();
    if (table == nullptr || table->kind() > LastMessageKind || table->standing() > LastStanding) {
        return std::nullopt;
    }
    Message message;
    message.kind = static_cast<MessageKind>(table->kind());
    message.boot = table->boot();
    message.term = table->term();
    message.sequence = table->sequence();
    message.index = table->index();
    message.logTerm = table->log_term();
    message.commit = table->commit();
    message.granted = table->granted();
    message.standing = static_cast<Standing>(table->standing());
    message.handoverTerm = table->handover_term();
    message.offset = table->offset();
    message.total = table->total();
    message.data = getBytes(table->data());
    message.commitTerm = table->commit_term();
    if (!getEntries(table->entries(), message.entries)) {
        return std::nullopt;
    }
    if (table->acknowledged() != nullptr) {
        for (const wire::LogPosition *position : *table->acknowledged()) {
            message.acknowledged[getString(position->vm())] = LogPosition{position->term(), position->index()};
        }
    }
    if (table->boots() != nullptr) {
        for (const wire::MemberBoot *boot : *table->boots()) {
            message.boots.push_back(MemberBoot{getString(boot->vm()), boot->boot()});
        }
    }
    return message;
}

std::string Codec::encode(const GroupRecord &record)
{
    Builder builder;
    const auto table = putRecord(builder, record);
    return finish(builder, wire::Content::GroupRecord, table);
}

std::optional<GroupRecord> Codec::decodeRecord(std::string_view bytes)
{
    const AlignedBytes aligned(bytes);
    const wire::Envelope *envelope = verifiedEnvelope(aligned.view());
    const wire::GroupRecord *table = envelope == nullptr ? nullptr : envelope->content_as_GroupRecord();
    return table == nullptr ? std::nullopt : getRecord(table);
}

std::string Codec::encode(const Snapshot &snapshot)
{
    Builder builder;
    const auto state = putBytes(builder, snapshot.state);
    const auto record = putRecord(builder, snapshot.record);
    const auto table = wire::CreateSnapshot(builder, snapshot.index, snapshot.term, record, state);
    const std::string content = finish(builder, wire::Content::Snapshot, table);
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string bytes(ChecksumBytes, '\0');
    std::memcpy(bytes.data(), &checksum, ChecksumBytes);
    return bytes + content;
}

std::optional<Snapshot> Codec::decodeSnapshot(std::string_view bytes)
{
    if (bytes.size() < ChecksumBytes) {
        return std::nullopt;
    }
    std::uint64_t checksum = 0;
    std::memcpy(&checksum, bytes.data(), ChecksumBytes);
    bytes.remove_prefix(ChecksumBytes);
    if (checksum != XXH3_64bits(bytes.data(), bytes.size())) {
        return std::nullopt;
    }
    const AlignedBytes aligned(bytes);
    const wire::Envelope *envelope = verifiedEnvelope(aligned.view());
    const wire::Snapshot *table = envelope == nullptr ? nullptr : envelope->content_as_Snapshot();
    if (table == nullptr || table->record() == nullptr) {
        return std::nullopt;
    }
    auto record = getRecord(table->record());
    if (!record) {
        return std::nullopt;
    }
    return Snapshot{table->index(), table->term(), std::move(*record), getBytes(table->state())};
}

std::string Codec::encode(const LogBatch &batch)
{
    Builder builder;
    flatbuffers::Offset<wire::LogPosition> base;
    if (batch.base) {
        base = wire::CreateLogPosition(builder, 0, batch.base->term, batch.base->index);
    }
    flatbuffers::Offset<wire::HardState> hardState;
    if (batch.hardState) {
        const auto votedFor = builder.CreateString(batch.hardState->votedFor);
        hardState = wire::CreateHardState(builder, batch.hardState->term, votedFor, batch.hardState->full, batch.hardState->membersCommitted);
    }
    const auto entries = putEntries(builder, batch.entries);
    const auto table = wire::CreateLogBatch(builder, base, hardState, entries);
    return finish(builder, wire::Content::LogBatch, table);
}

std::optional<LogBatch> Codec::decodeBatch(std::string_view bytes)
{
    const AlignedBytes aligned(bytes);
    const wire::Envelope *envelope = verifiedEnvelope(aligned.view());
    const wire::LogBatch *table = envelope == nullptr ? nullptr : envelope->content_as_LogBatch();
    if (table == nullptr) {
        return std::nullopt;
    }
    LogBatch batch;
    if (const wire::LogPosition *base = table->base(); base != nullptr) {
        batch.base = LogPosition{base->term(), base->index()};
    }
    if (const wire::HardState *state = table->hard_state(); state != nullptr) {
        batch.hardState = HardState{state->term(), getString(state->voted_for()), state->full(), state->members_committed()};
    }
    if (!getEntries(table->entries(), batch.entries)) {
        return std::nullopt;
    }
    return batch;
}

} // namespace cranberryreel::replication
