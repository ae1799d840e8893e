#pragma once

#include "cranberryreel/base/Clock.h"
#include "zone/AttemptEndHandler.h"
#include "zone/JobCloser.h"
#include "zone/StatusReader.h"
#include "zone/TaskStarter.h"
#include "zone/TermParts.h"
#include "zone/ZoneCall.h"
#include "zone/ZoneReply.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <string>

namespace cranberryreel::zone
{

/// Handles the calls that submit, look up and cancel jobs and read their answers. A submit whose id or idempotency key is already known joins the existing
/// job. Owned by LeaderTerm; used on the scheduler's thread only.
class JobCallHandler
{
public:
    JobCallHandler(TermParts &termParts, TaskStarter &taskStarter, AttemptEndHandler &attemptEndHandler, JobCloser &jobCloser);

    void submit(const SubmitCall &call, const std::string &traceparent, const ReplyCallback &reply);
    void lookup(const LookupCall &call, const ReplyCallback &reply);
    void cancel(const CancelCall &call, const ReplyCallback &reply);
    void readAnswer(const AnswerCall &call, const ReplyCallback &reply);

    /// Answers every waiting caller with NotLeader, since the term ends. `leader` is the next leader's VM, empty if unknown.
    void resign(const std::string &leader);

private:
    /// What the caller receives if its wait ends before the job is final.
    enum class OnTimeout {
        ReportState,
        ReportUnknown,
    };

    bool joinKnownJob(const SubmitCall &call, const ReplyCallback &reply);
    void joinJobOfKey(const model::JobId &id, const SubmitCall &call, const ReplyCallback &reply);
    void accept(const SubmitCall &call, const std::string &traceparent, const ReplyCallback &reply);
    void proposeSubmit(ActiveJob &job, const ReplyCallback &reply);
    void handleSubmitResult(const model::JobId &id, const replication::ProposeResult &result, const ReplyCallback &reply);
    void redirectToNextLeader(ActiveJob &job, const ReplyCallback &reply);
    void replyWhenFinal(ActiveJob &job, base::SteadyTime until, OnTimeout onTimeout, const ReplyCallback &reply);
    void retryUntilRecovered(SubmitCall call, const std::string &traceparent, const ReplyCallback &reply);
    void cancelLocal(ActiveJob &job, const ReplyCallback &reply);
    void cancelReplicated(const model::JobId &id, const ReplyCallback &reply);

    TermParts &parts;
    TaskStarter &starter;
    AttemptEndHandler &endHandler;
    JobCloser &closer;
    StatusReader statusReader;
    absl::flat_hash_map<std::string, model::JobId> uncommittedKeys; ///< Idempotency keys of jobs that the group has yet to commit.
    absl::flat_hash_set<model::JobId> redirected; ///< Jobs that the group did not take; their callers are being sent to the next leader.
    bool resigning = false;
};

} // namespace cranberryreel::zone
