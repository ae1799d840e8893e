#pragma once

#include "cranberryreel/base/Clock.h"
#include "http/Client.h"
#include "http/Server.h"
#include "support/FakeTaskTable.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::testsupport
{

/// An upstream with slots, leases, epochs and delayed usage reports, whose tasks are timers. Serves the requests of docs/UPSTREAM.md, announces itself, and
/// fails on demand. Owned by a test or by the program upstream_fake; may be used from any thread.
class FakeUpstream
{
public:
    FakeUpstream(FakeUpstreamOptions upstreamOptions, FakeJournal &journal, http::Client &announceClient);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    void start();
    void stop();
    std::string address() const;

    /// Sets fault switches by name, as POST /fault does: fail_all, freeze, silent, leaving, forget, restart.
    http::Response fault(const nlohmann::json &switches);

    model::UpstreamReport report();

private:
    struct PendingRequest {
        std::shared_ptr<const http::Request> request;
        http::Responder respond;
        base::SteadyTime receivedAt;
    };

    void handleRequest(const std::shared_ptr<const http::Request> &request, const http::Responder &respond);
    void process(const PendingRequest &waiting) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    http::Response processTaskCall(const http::Request &request, base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void processHeldRequests() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void run();
    std::optional<http::ClientRequest> advance(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    std::optional<http::ClientRequest> dueAnnouncement(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void handleAnnouncementResponse(const http::ClientResponse &response);
    void announceSoon(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    base::SteadyTime nextWake(base::SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const FakeUpstreamOptions options;
    http::Client &client;
    std::unique_ptr<http::Server> server;
    absl::Mutex mutex;
    absl::CondVar changed;
    FakeTaskTable table ABSL_GUARDED_BY(mutex);
    bool frozen ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool announcing ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t silencedConnection ABSL_GUARDED_BY(mutex) = 0;
    std::vector<PendingRequest> heldWhileFrozen ABSL_GUARDED_BY(mutex);
    std::vector<PendingRequest> neverAnswered ABSL_GUARDED_BY(mutex);
    std::size_t entry ABSL_GUARDED_BY(mutex) = 0;
    base::SteadyTime announceAt ABSL_GUARDED_BY(mutex);
    base::SteadyTime lastAnnounced ABSL_GUARDED_BY(mutex);
    std::thread timer;
};

} // namespace cranberryreel::testsupport
