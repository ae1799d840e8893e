#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// Content, targets and rate of the load of one run.
struct LoadOptions {
    std::vector<std::string> entries; ///< "host:port" of the entry VMs, used in turn.
    std::string key; ///< A partner's bearer key.
    double rate = 0; ///< Requests per second at fixed intervals (open loop); 0: closed loop over `connections`.
    int connections = 64; ///< Total over all entry VMs.
    std::chrono::seconds duration{10};
    std::chrono::seconds warmUp{1}; ///< Excluded from the tally.
    std::string name = "path-bench";
    std::string payload = R"({"run_ms":1,"echo":"x"})";
    std::int64_t cpuMillis = 500;
    std::int64_t memoryMiB = 256;
    std::chrono::milliseconds deadline{5000};
    bool repeatable = true; ///< False: each request has its own idempotency key.
    bool json = false; ///< Prints one JSON line instead of a table.
};

} // namespace cranberryreel::bench
