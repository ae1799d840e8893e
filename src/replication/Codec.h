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

/// Encodes messages, group records, snapshots and log batches as FlatBuffers. Each decode function verifies the bytes first, never reads beyond them and
/// returns nothing for bytes that are not valid. Stateless; any thread.
class Codec
{
public:
    static std::string encode(const Message &message);
    static std::optional<Message> decodeMessage(std::string_view bytes);

    static std::string encode(const GroupRecord &record);
    static std::optional<GroupRecord> decodeRecord(std::string_view bytes);

    /// Puts a checksum in front, because a snapshot crosses the network in chunks and is stored on disk.
    static std::string encode(const Snapshot &snapshot);
    static std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

    static std::string encode(const LogBatch &batch);
    static std::optional<LogBatch> decodeBatch(std::string_view bytes);
};

} // namespace cranberryreel::replication
