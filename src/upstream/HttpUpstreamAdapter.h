#pragma once

#include "http/Client.h"
#include "upstream/UpstreamAdapter.h"

#include <memory>
#include <string>

namespace cranberryreel::upstream
{

/// An UpstreamAdapter for the HTTP/JSON protocol specified in docs/UPSTREAM.md. Callbacks run on the client's threads. Owned by the daemon.
class HttpUpstreamAdapter : public UpstreamAdapter
{
public:
    explicit HttpUpstreamAdapter(const http::ClientOptions &options = {});

    void
    start(const std::string &address, const StartRequest &request, std::chrono::milliseconds limit, const std::string &traceparent, TaskDone done) override;
    void renew(const std::string &address, const RenewRequest &request, std::chrono::milliseconds limit, RenewDone done) override;
    void queryTask(const std::string &address, const std::string &taskId, std::chrono::milliseconds limit, TaskDone done) override;
    void command(const std::string &address,
                 const std::string &taskId,
                 std::uint32_t attempt,
                 TaskCommand command,
                 std::uint64_t epoch,
                 std::chrono::milliseconds limit,
                 TaskDone done) override;

    /// Ends all calls with UpstreamUnreachable.
    void stop();

private:
    http::Client client;
};

} // namespace cranberryreel::upstream
