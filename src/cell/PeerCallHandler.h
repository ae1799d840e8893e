#pragma once

#include "cell/AdmissionControl.h"
#include "cell/JobLifecycleLog.h"
#include "cell/TermContext.h"
#include "cell/UpstreamManager.h"
#include "cell/teams/RateWindow.h"

#include <functional>
#include <string>

namespace cranberryreel::cell
{

/// Receives the reply to a peer call.
using ReplyCallback = std::function<void(wire::ReplyT)>;

/// Answers the peer calls that VMs forward for submitters, upstreams and operators in one term. A change is committed before its call is answered; reads are
/// served while the leader's lease holds. Used by the scheduler's thread only. Owned by the CellTerm.
class PeerCallHandler
{
public:
    PeerCallHandler(TermContext &termContext, UpstreamManager &upstreamManager, const JobLifecycleLog &jobLog);

    /// Calls `reply` exactly once: at once for reads and errors, otherwise when the change is committed or has failed.
    void handle(wire::CallT call, const ReplyCallback &reply);

private:
    void submit(wire::CallT &call, const ReplyCallback &reply);
    void readJob(const wire::CallT &call, const ReplyCallback &reply) const;
    void cancelJob(const wire::CallT &call, const ReplyCallback &reply);
    void countPending(const wire::CallT &call, const ReplyCallback &reply) const;
    void putRules(wire::CallT &call, const ReplyCallback &reply);
    void readRules(const ReplyCallback &reply) const;
    void announce(const wire::CallT &call, const ReplyCallback &reply);
    void leave(const wire::CallT &call, const ReplyCallback &reply);
    std::optional<wire::ReplyT> prepareSubmission(const CellState &state, wire::CallT &call);
    void sendAnswer(const wire::CallT &call, const wire::ReplyT &answer, const ReplyCallback &reply) const;

    TermContext &context;
    UpstreamManager &upstreams;
    teams::RateWindow rateWindow;
    AdmissionControl admission;
};

/// A reply with this result code; `reason` explains an error to the caller.
wire::ReplyT makeReply(base::ResultCode code, const std::string &reason = {});

} // namespace cranberryreel::cell
