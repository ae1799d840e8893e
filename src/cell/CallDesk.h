#pragma once

#include "cell/FleetKeeper.h"
#include "cell/TermContext.h"

#include <functional>
#include <string>

namespace cranberryreel::cell
{

using Reply = std::function<void(wire::ReplyT)>;

/// Answers the calls of submitters, upstreams and operators in one term. What it promises is in the log before it says so; what it reads is read while the
/// term's lease holds. Used by the scheduler's thread only. Owned by the term.
class CallDesk
{
public:
    CallDesk(TermContext &termContext, FleetKeeper &fleetKeeper);

    void call(wire::CallT call, const Reply &reply);

private:
    void submit(wire::CallT &call, const Reply &reply);
    void readJob(const wire::CallT &call, const Reply &reply) const;
    void cancelJob(const wire::CallT &call, const Reply &reply);
    void countPending(const wire::CallT &call, const Reply &reply) const;
    void putRules(wire::CallT &call, const Reply &reply);
    void readRules(const Reply &reply) const;
    void announce(const wire::CallT &call, const Reply &reply);
    void leave(const wire::CallT &call, const Reply &reply);

    TermContext &context;
    FleetKeeper &fleet;
};

wire::ReplyT replyOf(base::ResultCode code, const std::string &reason = {});

} // namespace cranberryreel::cell
