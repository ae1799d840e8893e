#pragma once

#include "scenario/Script.h"

#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// The response that a caller got to one attempt of a request.
struct Response {
    std::string state; ///< done, failed, not_run or unknown; refused: an error which means that the attempt did not run; lost: no complete answer arrived;
                       ///< unreached: the VM accepted no connection.
    int code = 0;
    std::string answer;
    std::string id;
    std::string reason;
};

/// One request or job of a scenario, with all responses that its caller got.
struct Work {
    std::string name; ///< Name in the script; several requests or jobs may share it.
    std::string token; ///< Unique text that the answer must return.
    std::string key;
    std::string body;
    bool isJob = false;
    bool once = false;
    unsigned tasks = 1;
    std::string id; ///< Empty until an entry VM returns it.
    std::vector<Response> responses;

    /// State of the last response; "open" before the first.
    std::string state() const
    {
        return this->responses.empty() ? "open" : this->responses.back().state;
    }

    bool isAnswered() const
    {
        const std::string last = this->state();
        return last != "open" && last != "lost" && last != "unreached";
    }
};

} // namespace cranberryreel::scenario
