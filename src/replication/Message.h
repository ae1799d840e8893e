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
    PreVote, ///< Would you vote for me in `term`?
    PreVoteReply,
    Vote,
    VoteReply,
    Append, ///< Entries after (`index`, `logTerm`); without entries a heartbeat.
    AppendReply, ///< Granted: the log matches up to `index`. Else it differs after `index`.
    SnapshotChunk, ///< A piece of the snapshot at (`index`, `logTerm`).
    SnapshotReply, ///< The next byte wanted is `offset`.
    Handover, ///< Campaign at once: I have given up my lease of `term`.
    Read, ///< Up to which index must be applied to read what is committed now?
    ReadReply,
    Probe, ///< I hear no leader: who is there?
    ProbeReply,
    Form, ///< Form the group anew with me as leader of `term`, out of `boots`?
    FormReply,
};

/// What one member tells another. Which fields count depends on the kind; the rest stay at their defaults, which cost no bytes.
struct Message {
    MessageKind kind = MessageKind::Append;
    std::string from; ///< Known to the transport; not sent.
    std::string to; ///< Known to the transport; not sent.
    std::uint64_t boot = 0; ///< The sender's.
    std::uint64_t term = 0;
    std::int64_t sequence = 0; ///< Append: the leader's steady time in nanoseconds, echoed by the reply. Read, Form, Probe: the round's number.
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0;
    std::uint64_t commit = 0;
    bool granted = false;
    Standing standing = Standing::Blank; ///< The sender's, in replies.
    std::uint64_t handoverTerm = 0; ///< Vote: the leader of this term asked for the campaign and holds no lease any more.
    std::uint64_t offset = 0; ///< Bytes into the snapshot.
    std::uint64_t total = 0; ///< Append: the leader's last index. SnapshotChunk: bytes of the whole snapshot.
    std::string data;
    std::vector<Entry> entries;
    std::map<std::string, LogPosition> acknowledged; ///< How far each member is known to have acknowledged, by VM.
    std::vector<MemberBoot> boots;
    std::uint64_t commitTerm = 0; ///< ProbeReply: of the entry at `commit`.
};

} // namespace cranberryreel::replication
