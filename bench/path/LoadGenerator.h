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

/// Sends requests to entry VMs as a caller would and tallies what comes back. In the open loop the latency counts from when a request was due, not from when
/// it could be sent, so that a stall shows in every request that it delayed. Owned by the bench's main.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions loadOptions);

    /// Runs to the end and prints the tally.
    void run();

private:
    void runOpen(base::SteadyTime end);
    void runClosed(base::SteadyTime end);
    void sendNext(std::size_t entry, base::SteadyTime end);
    void send(std::size_t entry, base::SteadyTime due, std::function<void()> then);
    void count(const http::ClientResponse &response, base::SteadyTime due);
    void awaitOpenCalls() const;
    std::string body(std::uint64_t number) const;

    const LoadOptions options;
    std::string runName; ///< Makes keys unique over runs.
    base::SteadyTime countFrom;
    std::atomic<std::uint64_t> numbers{0};
    std::atomic<int> open{0};
    LoadTally tally;
    std::vector<std::unique_ptr<http::Client>> clients; ///< One per entry VM.
};

} // namespace cranberryreel::bench
