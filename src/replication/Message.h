#pragma once

#include "replication/Entry.h"
#include "replication/LogPosition.h"
#include "replication/MemberBoot.h"
#include "replication/Standing.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryreel::replication
{

enum class MessageKind : std::uint8_t {
    PreVote, ///< Asks whether the receiver would vote for the sender in `term`.
    PreVoteReply,
    Vote,
    VoteReply,
    Append, ///< Entries that follow (`index`, `logTerm`); a heartbeat if there are none.
    AppendReply, ///< If `granted`, the log matches up to `index`; otherwise the logs can match up to `index` at most.
    SnapshotChunk, ///< Part of the snapshot at (`index`, `logTerm`).
    SnapshotReply, ///< Asks for the snapshot's bytes from `offset` on.
    Handover, ///< Asks the receiver to start an election at once; the sender has given up its lease of `term`.
    Read, ///< Asks for the index that must be applied for a linearizable read.
    ReadReply,
    Probe, ///< Sent without contact to a leader; asks whether the receiver is present, and for its state.
    ProbeReply,
    Form, ///< Asks to form the group in a cold start with the sender as leader of `term`; `boots` holds the receiver's boot.
    FormReply,
};

/// A message from one member to another. The kind determines which fields are used; the others keep their defaults, which take no bytes on the wire.
struct Message {
    MessageKind kind = MessageKind::Append;
    std::string from; ///< Sender's VM; set from the transport, not encoded.
    std::string to; ///< Receiver's VM; used by the transport, not encoded.
    std::uint64_t boot = 0; ///< The sender's boot.
    std::uint64_t term = 0;
    /// Append: the leader's steady time in nanoseconds. PreVoteReply: the requested term. Read: the read's id. Probe: the round's number. Replies to the
    /// other kinds echo it.
    std::int64_t sequence = 0;
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0;
    std::uint64_t commit = 0;
    bool granted = false;
    Standing standing = Standing::Blank; ///< The sender's standing; set in replies.
    std::uint64_t handoverTerm = 0; ///< Vote: the leader of this term requested the election and has given up its lease.
    std::uint64_t offset = 0; ///< Byte offset in the encoded snapshot.
    std::uint64_t total = 0; ///< Append: the leader's last index. SnapshotChunk: size of the whole snapshot in bytes.
    std::string data;
    std::vector<Entry> entries;
    std::map<std::string, LogPosition> acknowledged; ///< The highest position known to be acknowledged by each member, by VM.
    std::vector<MemberBoot> boots;
    std::uint64_t commitTerm = 0; ///< ProbeReply: term of the entry at `commit`.
};

} // namespace cranberryreel::replication
