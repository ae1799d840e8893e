#pragma once

#include "replication/Entry.h"
#include "replication/GroupRecord.h"
#include "replication/LogBatch.h"
#include "replication/Message.h"
#include "replication/Snapshot.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// The bytes of messages, records, snapshots and log batches, by FlatBuffers. Each decode verifies the bytes first and gives nothing for bytes that
/// it cannot read; it never reads beyond them.
class Codec
{
public:
    static std::string encode(const Message &message);
    static std::optional<Message> decodeMessage(std::string_view bytes);

    static std::string encode(const GroupRecord &record);
    static std::optional<GroupRecord> decodeRecord(std::string_view bytes);

    /// With a checksum in front, since a snapshot crosses the network in pieces and lies on disk.
    static std::string encode(const Snapshot &snapshot);
    static std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

    static std::string encode(const LogBatch &batch);
    static std::optional<LogBatch> decodeBatch(std::string_view bytes);
};

} // namespace cranberryreel::replication
