#pragma once

#include "cranberryreel/base/Clock.h"
#include "http/Client.h"
#include "path/LoadOptions.h"
#include "path/LoadTally.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::bench
{

/// Sends requests to entry VMs as a caller would and tallies the answers. In the open loop, latency is measured from the time at which a request was
/// due, not from when it was sent, so that a stall shows in every request that it delayed. Owned by the benchmark's main(); run() is called by one thread.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions loadOptions);

    /// Sends load for the configured time, waits for open requests, and prints the tally.
    void run();

private:
    void runOpen(base::SteadyTime end);
    void runClosed(base::SteadyTime end);
    void sendNext(std::size_t entry, base::SteadyTime end);
    void send(std::size_t entry, base::SteadyTime due, std::function<void()> then);
    void count(const http::ClientResponse &response, base::SteadyTime due);
    void awaitOpenRequests() const;
    std::string body(std::uint64_t number) const;

    const LoadOptions options;
    std::string runName; ///< Makes idempotency keys unique across runs.
    base::SteadyTime countedSince;
    std::atomic<std::uint64_t> lastNumber{0};
    std::atomic<int> openRequests{0};
    LoadTally tally;
    std::vector<std::unique_ptr<http::Client>> clients; ///< One for each entry VM.
};

} // namespace cranberryreel::bench
