#pragma once

#include "entry/Dispatcher.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::testsupport
{

/// Stores submitted work and answers at once, or on releaseAll() after hold(). The answer to a request is its payload. Owned by a test; may be used from any
/// thread.
class FakeDispatcher : public entry::Dispatcher
{
public:
    void submit(model::JobSpec spec, const std::string &traceparent, entry::DispatchDone done) override;
    void lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &traceparent, entry::DispatchDone done) override;
    void cancel(const model::JobId &id, const std::string &traceparent, entry::DispatchDone done) override;
    void announce(model::UpstreamReport report, entry::AnnounceDone done) override;
    void view(const std::string &what, const std::string &filter, entry::TextDone done) override;
    void drain(const std::string &vm, bool draining, entry::TextDone done) override;
    void changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, entry::TextDone done) override;

    /// While true, submissions wait for releaseAll(), and lookups with a wait are never answered.
    void hold(bool value);
    std::size_t heldCount() const;

    /// Answers all held submissions, newest first.
    void releaseAll();

    /// Refuses the next submissions with this code; Ok accepts them again.
    void refuseWith(base::ResultCode code);
    model::JobSpec lastSpec() const;
    model::UpstreamReport lastReport() const;

private:
    entry::DispatchReply finish(const model::JobSpec &spec) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    entry::DispatchReply find(const model::JobId &id);

    mutable absl::Mutex mutex;
    bool holding ABSL_GUARDED_BY(mutex) = false;
    base::ResultCode refusal ABSL_GUARDED_BY(mutex) = base::ResultCode::Ok;
    std::vector<std::pair<model::JobSpec, entry::DispatchDone>> held ABSL_GUARDED_BY(mutex);
    std::vector<entry::DispatchDone> heldLookups ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<model::JobId, model::JobStatus> jobs ABSL_GUARDED_BY(mutex);
    model::JobSpec last ABSL_GUARDED_BY(mutex);
    model::UpstreamReport report ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::testsupport
