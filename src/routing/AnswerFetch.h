#pragma once

#include "routing/LeaderCall.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <functional>
#include <memory>

namespace cranberryreel::routing
{

/// Gathers an answer that is larger than one frame, piece by piece. Keeps itself alive until the whole is there or a piece cannot be had.
class AnswerFetch : public std::enable_shared_from_this<AnswerFetch>
{
public:
    using Ask = std::function<void(zone::AnswerCall, CallOutcome)>;

    AnswerFetch(zone::ZoneReply firstPart, Ask askPiece, CallOutcome whenDone);

    void next();

private:
    void arrived(const zone::ZoneReply &reply);

    zone::ZoneReply whole;
    Ask ask;
    CallOutcome done;
};

} // namespace cranberryreel::routing
