#pragma once

#include "LoopbackServer.h"
#include "Record.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

namespace cranberryreel::review
{

/// The service that says which runners may run a step: it allows all that a call names, after the time that the queue's Recommendation states. It handles calls
/// side by side, since all machines of a case call from one address. Any thread.
class Advisor
{
public:
    Advisor(std::chrono::milliseconds time, Record &caseRecord);

    const std::string &address() const
    {
        return this->server.address();
    }

    std::size_t calls() const
    {
        return this->callCount;
    }

private:
    std::string advise(const std::string &body);

    const std::chrono::milliseconds decisionTime;
    Record &record;
    std::atomic<std::size_t> callCount{0};
    LoopbackServer server;
};

} // namespace cranberryreel::review
