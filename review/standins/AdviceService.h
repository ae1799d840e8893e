#pragma once

#include "HttpServer.h"
#include "Record.h"

#include <string>

namespace cranberryreel::review
{

/// Plays the service at `Recommendation`: it allows all workers to run each step. Owned by the case.
class AdviceService
{
public:
    AdviceService(const std::string &address, Record &caseRecord);

    /// The ticket that a start of a task of the step on the worker has to carry.
    static std::string ticketFor(const std::string &step, const std::string &worker);

private:
    HttpReply handle(const HttpMessage &request);

    Record &record;
    HttpServer server;
};

} // namespace cranberryreel::review
