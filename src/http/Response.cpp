#include "http/Response.h"

#include <nlohmann/json.hpp>

namespace cranberryreel::http
{

namespace
{

using base::ResultCode;

struct StatusRow {
    ResultCode code;
    unsigned int status;
};

constexpr unsigned int BadRequest = 400;
constexpr unsigned int Conflict = 409;
constexpr unsigned int TooManyRequests = 429;
constexpr unsigned int InternalError = 500;
constexpr unsigned int Unavailable = 503;

constexpr StatusRow StatusRows[] = {
    {ResultCode::Ok, 200},
    {ResultCode::BodyTooLarge, 413},
    {ResultCode::Unauthorized, 401},
    {ResultCode::NotFound, 404},
    {ResultCode::MethodNotAllowed, 405},
    {ResultCode::Forbidden, 403},
    {ResultCode::KeyReusedForOtherWork, Conflict},
    {ResultCode::RequestTimedOut, 408},
    {ResultCode::TooManyConnections, Unavailable},
    {ResultCode::AnswerDeferred, Unavailable},
    {ResultCode::NeverFits, Conflict},
    {ResultCode::QueueFull, TooManyRequests},
    {ResultCode::QuotaExceeded, TooManyRequests},
    {ResultCode::CancelledBeforeStart, Conflict},
    {ResultCode::CancelledWhileRunning, Conflict},
    {ResultCode::RevisionConflict, Conflict},
    {ResultCode::RegisterInvalid, BadRequest},
    {ResultCode::RulesInvalid, BadRequest},
    {ResultCode::ChangeIdReused, Conflict},
    {ResultCode::UnknownVm, 404},
    {ResultCode::UpstreamStaleEpoch, Conflict},
    {ResultCode::UpstreamRefused, Conflict},
    {ResultCode::UpstreamUnknown, 404},
    {ResultCode::Internal, InternalError},
};

constexpr int CodesPerClass = 1000;
constexpr int CallerInputClass = 2;

} // namespace

unsigned int httpStatus(base::ResultCode code)
{
    for (const StatusRow &row : StatusRows) {
        if (row.code == code) {
            return row.status;
        }
    }
    return static_cast<int>(code) / CodesPerClass == CallerInputClass ? BadRequest : Unavailable;
}

Response errorResponse(base::ResultCode code, const std::string &reason)
{
    const nlohmann::json body = {{"code", static_cast<int>(code)}, {"code_name", std::string(base::resultName(code))}, {"reason", reason}};
    Response response;
    response.status = httpStatus(code);
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace cranberryreel::http
