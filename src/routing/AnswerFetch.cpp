#include "routing/AnswerFetch.h"

#include <utility>

namespace cranberryreel::routing
{

AnswerFetch::AnswerFetch(zone::ZoneReply firstPart, Ask askPiece, CallOutcome whenDone)
    : whole(std::move(firstPart))
    , ask(std::move(askPiece))
    , done(std::move(whenDone))
{
}

void AnswerFetch::next()
{
    this->ask({this->whole.status.id, this->whole.status.answer.size()},
              [self = this->shared_from_this()](const zone::ZoneReply &reply) { self->arrived(reply); });
}

void AnswerFetch::arrived(const zone::ZoneReply &reply)
{
    if (reply.code != base::ResultCode::Ok || reply.piece.empty()) {
        // The work is done, but its answer went with the scheduler that held it: no part of an answer is given for the whole.
        this->whole.status.answer.clear();
        this->whole.status.state = model::JobState::Unknown;
        this->whole.status.code = base::ResultCode::OutcomeUnknown;
        this->whole.status.reason = "its answer could not be fetched whole; ask again by id";
        this->done(this->whole);
        return;
    }
    this->whole.status.answer += reply.piece;
    if (this->whole.status.answer.size() >= this->whole.answerBytes) {
        this->done(this->whole);
        return;
    }
    this->next();
}

} // namespace cranberryreel::routing
