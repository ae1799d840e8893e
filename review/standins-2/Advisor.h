#pragma once

#include "Record.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>

struct MHD_Daemon;

namespace cranberryreel::review
{

/// The service that says which runners may run a step: it allows all that a call names, after the time that the queue's Recommendation states. It handles calls
/// side by side, since all machines of a case call from one address. Any thread.
class Advisor
{
public:
    Advisor(std::chrono::milliseconds decisionTime, Record &caseRecord);
    ~Advisor();
    Advisor(const Advisor &) = delete;
    Advisor &operator=(const Advisor &) = delete;

    const std::string &address() const
    {
        return this->ownAddress;
    }

    std::size_t calls() const
    {
        return this->callCount;
    }

    /// Handles one call. Called by the server.
    std::string advise(const std::string &body);

private:
    const std::chrono::milliseconds decisionTime;
    Record &record;
    std::atomic<std::size_t> callCount{0};
    MHD_Daemon *server = nullptr;
    std::string ownAddress;
};

} // namespace cranberryreel::review
