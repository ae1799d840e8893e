#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// What a load run sends, where and how fast.
struct LoadOptions {
    std::vector<std::string> entries; ///< "host:port" of entry VMs, taken in turn.
    std::string key; ///< A partner's bearer key.
    double rate = 0; ///< Requests a second at fixed intervals (open loop); 0: closed loop over `connections`.
    int connections = 64; ///< In all.
    std::chrono::seconds duration{10};
    std::chrono::seconds warmUp{1}; ///< Not counted.
    std::string name = "path-bench";
    std::string payload = R"({"run_ms":1,"echo":"x"})";
    std::int64_t cpuMillis = 500;
    std::int64_t memoryMiB = 256;
    std::chrono::milliseconds deadline{5000};
    bool repeatable = true; ///< False: each request carries a key of its own.
    bool json = false; ///< Prints one JSON line and no table.
};

} // namespace cranberryreel::bench
