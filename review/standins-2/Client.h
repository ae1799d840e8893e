#pragma once

#include "Cell.h"
#include "Record.h"

#include <chrono>
#include <string>

namespace cranberryreel::review
{

/// A client of the routes of one host, which sends each call to one entry machine. Any thread.
class Client
{
public:
    Client(const Cell &clientCell, std::string routeHost, Record &caseRecord);

    /// The status of the response; 0 if there was none by the deadline.
    long submit(const std::string &prefix, const std::string &id, const std::string &body) const;

    /// Submits until a response accepts or refuses the job for good.
    bool submitAccepted(const std::string &prefix, const std::string &id, const std::string &body) const;
    long cancel(const std::string &prefix, const std::string &id) const;

    /// The job's state; the status in digits if it is not 200.
    std::string state(const std::string &prefix, const std::string &id) const;

private:
    std::string url(const std::string &path) const;

    const Cell &cell;
    const std::string host;
    Record &record;
};

} // namespace cranberryreel::review
