#pragma once

#include "routing/LeaderCall.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <functional>
#include <memory>

namespace cranberryreel::routing
{

/// Fetches an answer that is larger than one frame, piece by piece, and delivers the whole reply once. Keeps itself alive until the answer is complete or a
/// piece cannot be fetched; callbacks run on the threads of the calls.
class AnswerFetcher : public std::enable_shared_from_this<AnswerFetcher>
{
public:
    using PieceRequest = std::function<void(zone::AnswerCall, LeaderReplyCallback)>;

    AnswerFetcher(zone::ZoneReply firstPart, PieceRequest pieceRequest, LeaderReplyCallback whenDone);

    /// Requests the piece after the bytes that have arrived so far.
    void fetchNext();

private:
    void handlePiece(const zone::ZoneReply &reply);

    zone::ZoneReply assembled;
    PieceRequest requestPiece;
    LeaderReplyCallback done;
};

} // namespace cranberryreel::routing
