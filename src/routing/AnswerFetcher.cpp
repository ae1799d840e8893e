#include "routing/AnswerFetcher.h"

#include <utility>

namespace cranberryreel::routing
{

AnswerFetcher::AnswerFetcher(zone::ZoneReply firstPart, PieceRequest pieceRequest, LeaderReplyCallback whenDone)
    : assembled(std::move(firstPart))
    , requestPiece(std::move(pieceRequest))
    , done(std::move(whenDone))
{
}

void AnswerFetcher::fetchNext()
{
    this->requestPiece({this->assembled.status.id, this->assembled.status.answer.size()},
                       [self = this->shared_from_this()](const zone::ZoneReply &reply) { self->handlePiece(reply); });
}

void AnswerFetcher::handlePiece(const zone::ZoneReply &reply)
{
    if (reply.code != base::ResultCode::Ok || reply.piece.empty()) {
        // The work is done, but its answer was lost with the scheduler that held it. A partial answer is never delivered as the whole answer.
        this->assembled.status.answer.clear();
        this->assembled.status.state = model::JobState::Unknown;
        this->assembled.status.code = base::ResultCode::OutcomeUnknown;
        this->assembled.status.reason = "the answer could not be fetched completely; look the job up by its id";
        this->done(this->assembled);
        return;
    }
    this->assembled.status.answer += reply.piece;
    if (this->assembled.status.answer.size() >= this->assembled.answerBytes) {
        this->done(this->assembled);
        return;
    }
    this->fetchNext();
}

} // namespace cranberryreel::routing
