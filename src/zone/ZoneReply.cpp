#include "zone/ZoneReply.h"

namespace cranberryreel::zone
{

ZoneReply notRunReply(const model::JobSpec &spec, base::ResultCode code, const std::string &reason)
{
    ZoneReply reply;
    reply.status.id = spec.id;
    reply.status.kind = spec.kind;
    reply.status.partner = spec.partner;
    reply.status.name = spec.name;
    reply.status.state = model::JobState::NotRun;
    reply.status.code = code;
    reply.status.reason = reason;
    return reply;
}

ZoneReply unknownReply(const model::JobSpec &spec, const std::string &reason)
{
    ZoneReply reply = notRunReply(spec, base::ResultCode::OutcomeUnknown, reason);
    reply.status.state = model::JobState::Unknown;
    return reply;
}

ZoneReply failureReply(base::ResultCode code, const std::string &reason)
{
    ZoneReply reply;
    reply.code = code;
    reply.reason = reason;
    return reply;
}

} // namespace cranberryreel::zone
