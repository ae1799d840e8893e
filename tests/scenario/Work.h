#pragma once

#include "scenario/Script.h"

#include <string>
#include <vector>

namespace cranberryreel::scenario
{

/// What a caller was told by one attempt of a request.
struct Told {
    std::string state; ///< done, failed, not_run or unknown; refused for an error that says the attempt did not run; lost where no whole answer came; unreached
                       ///< where the VM took no connection.
    int code = 0;
    std::string answer;
    std::string id;
    std::string reason;
};

/// One request or job of a scenario, with every answer its caller ever got.
struct Work {
    std::string name; ///< As the script calls it; many share one.
    std::string token; ///< Its own word, which its answer must carry.
    std::string key;
    std::string body;
    bool isJob = false;
    bool once = false;
    unsigned tasks = 1;
    std::string id; ///< Once told.
    std::vector<Told> told;

    /// The state that the last answer told; "open" before any.
    std::string state() const
    {
        return this->told.empty() ? "open" : this->told.back().state;
    }

    bool settled() const
    {
        const std::string last = this->state();
        return last != "open" && last != "lost" && last != "unreached";
    }
};

} // namespace cranberryreel::scenario
