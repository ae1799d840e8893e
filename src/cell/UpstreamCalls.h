#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// The upstream that a call is meant for.
struct UpstreamTarget {
    std::string id; ///< An upstream with another id at the same address refuses the call.
    std::string address; ///< "IP:PORT".
};

/// How a start, stop, pace or renew request to an upstream ended. The numbers are part of the relay protocol (wire::RelayResult::answer).
enum class UpstreamCallStatus : std::uint8_t {
    Done, ///< Carried out, now or by an earlier request.
    Fenced, ///< Refused: the upstream has seen a higher epoch.
    Superseded, ///< Refused: this attempt or a later one has already ended or been stopped there.
    TooLate, ///< Refused: the deadline in the request had passed.
    InsufficientCapacity, ///< Refused: the task does not fit into the free capacity.
    TicketRefused, ///< Refused: the ticket is unknown or expired.
    Invalid, ///< Refused: the upstream does not understand the request.
    Unhealthy, ///< Refused: the upstream takes no work for now.
    OtherUpstream, ///< Refused: an upstream with another id answers at the address.
    NotSent, ///< The request certainly did not leave this VM.
    Unknown, ///< No answer: the request may have been carried out, or may be carried out seconds later.
    Absent, ///< Nobody listens at the address; the request was not carried out.
};

/// The result of a request to an upstream.
struct UpstreamCallResult {
    UpstreamCallStatus status = UpstreamCallStatus::Unknown;
    std::optional<std::chrono::milliseconds> clock; ///< The upstream's steady clock when it answered.
    std::string detail; ///< For logs.
};

/// One attempt of a task, by the task name that upstreams know.
struct RunName {
    std::string task;
    std::uint32_t attempt = 0;
};

/// A request to run one attempt of a task.
struct StartRequest {
    RunName run;
    std::string payload;
    std::chrono::milliseconds deadline{0}; ///< End of the lease on the upstream's clock; it covers everything that runs there.
    std::uint64_t epoch = 0;
    std::string checkpoint; ///< Where to resume; empty to start from the beginning.
    std::string ticket; ///< Proof of advice; empty if the queue needs none.
};

/// One entry in the list of runs of an upstream.
struct RunReport {
    RunName run;
    std::string checkpoint;
    int percent = 0; ///< Share of the work that is done.
    std::int64_t measurement = 0; ///< Tasks with a tail latency target: the tail latency in milliseconds; others: the CPU use in thousandths of a core.
};

/// How a run ended, as its upstream reports it. The numbers are part of the relay protocol (wire::EndLine::how).
enum class RunEndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed, ///< Its lease expired.
    Broken,
    Alone
};

/// An end report, which an upstream lists until it is acknowledged.
struct EndReport {
    std::uint64_t number = 0; ///< Counts the ends of one incarnation of the upstream from 1.
    RunName run;
    RunEndKind kind = RunEndKind::Failed;
    std::string checkpoint;
};

/// A request to renew the lease, which also reads the lists of runs and ends.
struct RenewRequest {
    std::optional<std::chrono::milliseconds> deadline; ///< New end of the lease on the upstream's clock; nothing to read the lists without renewing.
    std::uint64_t epoch = 0;
    std::uint64_t acknowledged = 0; ///< The upstream may drop ends up to this number.
    std::chrono::milliseconds wait{0}; ///< How long the upstream may wait for an end before it answers.
};

/// The answer to a renew request.
struct RenewResult {
    UpstreamCallResult callResult;
    std::int64_t bornMs = 0; ///< Start time of the incarnation that answered, Unix time in milliseconds; 0 if not stated.
    std::vector<RunReport> running;
    std::vector<EndReport> ended;
    bool endsCut = false; ///< The list of ends is incomplete.
};

using UpstreamCallback = std::function<void(UpstreamCallResult)>;
using RenewCallback = std::function<void(RenewResult)>;

/// Sends requests to upstreams. Each callback is called once, on any thread, at the latest when `limit` has passed. Any thread.
class UpstreamCalls
{
public:
    virtual ~UpstreamCalls() = default;
    /// `freshConnection`: use a new connection instead of a pooled one.
    virtual void
    start(const UpstreamTarget &target, const StartRequest &request, std::chrono::milliseconds limit, bool freshConnection, UpstreamCallback done) = 0;
    virtual void stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done) = 0;
    virtual void renew(const UpstreamTarget &target, const RenewRequest &request, std::chrono::milliseconds limit, RenewCallback done) = 0;

    /// Sets the share of its speed at which a task runs, 0 to 100 percent.
    virtual void
    pace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, UpstreamCallback done) = 0;
};

} // namespace cranberryreel::cell
