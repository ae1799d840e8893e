#pragma once

#include "http/Client.h"
#include "upstream/UpstreamAdapter.h"

#include <memory>
#include <string>

namespace cranberryreel::upstream
{

/// Speaks HTTP/JSON to upstreams, as docs/UPSTREAM.md states it. Callbacks run on the client's threads. Owned by the daemon.
class HttpUpstreamAdapter : public UpstreamAdapter
{
public:
    explicit HttpUpstreamAdapter(const http::ClientOptions &options = {});

    void start(const std::string &address, const StartOrder &order, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done) override;
    void renew(const std::string &address, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done) override;
    void ask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done) override;
    void command(const std::string &address,
                 const std::string &taskId,
                 std::uint32_t attempt,
                 TaskCommand command,
                 std::uint64_t epoch,
                 std::chrono::milliseconds limit,
                 TaskDone done) override;

    /// Ends all calls as unreachable.
    void stop();

private:
    http::Client client;
};

} // namespace cranberryreel::upstream
