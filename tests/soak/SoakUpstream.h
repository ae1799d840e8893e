#pragma once

#include "http/Server.h"
#include "soak/GangWork.h"
#include "soak/LateCalls.h"
#include "soak/SoakIncarnation.h"
#include "soak/SoakReport.h"
#include "soak/TaskRuns.h"
#include "support/LinkRelay.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberryreel::soak
{

/// An upstream as the platform's protocol describes it, at one address, with one incarnation after the other. Its runs last until they are stopped, their work
/// or lease ends, or the incarnation crashes. Owned by SoakUpstreams; the faults are injected by its owner's thread only.
class SoakUpstream
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;
    /// Sends an announcement; returns whether it was acknowledged.
    using Announce = std::function<bool(const std::string &id, const std::string &body)>;

    /// The upstream's clock runs at `rate` times the true speed. Delays of calls are drawn from the seed.
    SoakUpstream(
        std::string upstreamId, double rate, std::uint64_t seed, SoakReport &soakReport, TaskRuns &taskRuns, GangWork &gangWork, Announce announceFunction);
    ~SoakUpstream();
    SoakUpstream(const SoakUpstream &) = delete;
    SoakUpstream &operator=(const SoakUpstream &) = delete;

    const std::string &id() const;
    std::size_t runCount() const;

    /// Announces its end, and goes on.
    void drain();
    bool draining() const;

    /// Ends the incarnation at once: its connections break, and further ones are refused.
    void crash();

    /// Begins the next incarnation under the same id and address, after crash(). It first announces itself within an announcement interval.
    void restart();

    /// From when the cell knows the present incarnation, neither calls nor announcements get through, until rejoin(): before that no caller can reckon with
    /// the leases that a call to the earlier incarnation gave to this one.
    void cutOff();
    void rejoin();

    /// When the last cut began.
    SteadyTime lastCut() const;

    /// Whether starts and renewals may be carried out late.
    void setDelays(bool enabled);

private:
    struct Renewal {
        http::Responder respond;
        SteadyTime until;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void keepTime();
    void answerRenewals() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void dropRenewals() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void beginCut() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void announceAll();
    bool mayAnnounce() const;
    std::string announcement();

    const std::string name;
    const double clockRate;
    SoakReport &report;
    TaskRuns &runs;
    GangWork &work;
    const Announce announce;
    std::atomic<bool> stopped{false};
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isSilent{false}; ///< Down or cut off.
    std::unique_ptr<http::Server> server;
    std::uint16_t port = 0;
    mutable absl::Mutex mutex;
    std::unique_ptr<support::LinkRelay> relay ABSL_GUARDED_BY(mutex); ///< Its end breaks connections without an answer, as a crash does.
    std::unique_ptr<SoakIncarnation> current ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    SteadyTime firstAnnouncement ABSL_GUARDED_BY(mutex); ///< Of the present incarnation, at the earliest.
    LateCalls lateCalls ABSL_GUARDED_BY(mutex);
    bool delaysEnabled ABSL_GUARDED_BY(mutex) = false;
    bool isDown ABSL_GUARDED_BY(mutex) = false;
    bool cutWanted ABSL_GUARDED_BY(mutex) = false;
    SteadyTime cutAt ABSL_GUARDED_BY(mutex);
    std::vector<Renewal> renewals ABSL_GUARDED_BY(mutex);
    std::vector<http::Responder> unanswered ABSL_GUARDED_BY(mutex); ///< Kept, since a dropped responder answers.
    std::thread timer;
    std::thread announcer;
};

} // namespace cranberryreel::soak
