#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::cell
{

/// Which upstream a call is meant for.
struct UpstreamTarget {
    std::string id; ///< Another one at the same address refuses the call.
    std::string address; ///< "IP:PORT".
};

/// How an order or a question to an upstream ended.
enum class OrderAnswer : std::uint8_t {
    Done, ///< It was carried out, now or by an earlier call.
    Fenced, ///< A scheduler with a higher epoch has called; nothing was done.
    Superseded, ///< This attempt, or a later one, ended or was stopped there before.
    TooLate, ///< The deadline in the order had passed.
    NoRoom,
    TicketRefused, ///< The ticket is unknown or too old.
    Invalid, ///< The upstream does not understand the order.
    Unhealthy, ///< The upstream refuses work for now; nothing was done.
    OtherLife, ///< Another incarnation answers at the address.
    NotSent, ///< Provably nothing left this VM.
    Unknown, ///< No answer: it may have been done, or may be done seconds later.
    Absent, ///< Nobody listens at the address; nothing was done.
};

struct OrderResult {
    OrderAnswer answer = OrderAnswer::Unknown;
    std::optional<std::chrono::milliseconds> clock; ///< The upstream's steady clock at its answer.
    std::string detail; ///< For logs.
};

/// One attempt of a task, by the name that upstreams know it by.
struct RunName {
    std::string task;
    std::uint32_t attempt = 0;
};

struct RunOrder {
    RunName run;
    std::string payload;
    std::chrono::milliseconds deadline{0}; ///< On the upstream's clock; covers everything that runs there.
    std::uint64_t epoch = 0;
    std::string checkpoint; ///< Empty: from the beginning.
    std::string ticket; ///< Empty where the queue needs none.
};

/// One line of what an upstream runs.
struct RunReport {
    RunName run;
    std::string checkpoint;
    int percent = 0; ///< Of its work.
    std::int64_t figure = 0; ///< Of a task with a tail target: the tail in milliseconds; of others: processor time in use, in thousandths of a core.
};

enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone
};

/// One end that an upstream lists until it is acknowledged.
struct EndReport {
    std::uint64_t number = 0; ///< Counts the ends of one life of the upstream from 1.
    RunName run;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

struct RenewOrder {
    std::optional<std::chrono::milliseconds> deadline; ///< On the upstream's clock; none: look only.
    std::uint64_t epoch = 0;
    std::uint64_t acknowledged = 0; ///< Ends up to this number may be forgotten.
    std::chrono::milliseconds wait{0}; ///< How long the upstream may wait for an end before it answers.
};

struct RenewResult {
    OrderResult result;
    std::int64_t bornMs = 0; ///< Of the life that answered; 0 when it did not say.
    std::vector<RunReport> running;
    std::vector<EndReport> ended;
    bool endsCut = false; ///< More ends wait to be listed.
};

using OrderDone = std::function<void(OrderResult)>;
using RenewDone = std::function<void(RenewResult)>;

/// How the scheduler reaches upstreams. Callbacks come once, on any thread, at the latest when the limit has passed.
class UpstreamCalls
{
public:
    virtual ~UpstreamCalls() = default;
    virtual void start(const UpstreamTarget &target, const RunOrder &order, std::chrono::milliseconds limit, bool freshConnection, OrderDone done) = 0;
    virtual void stop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done) = 0;
    virtual void renew(const UpstreamTarget &target, const RenewOrder &order, std::chrono::milliseconds limit, RenewDone done) = 0;

    /// Lets a task work at this share, 0 to 100.
    virtual void pace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit, OrderDone done) = 0;
};

} // namespace cranberryreel::cell
