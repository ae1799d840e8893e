#include "support/FakeDispatcher.h"

#include <algorithm>

namespace cranberryreel::testsupport
{

using base::ResultCode;

entry::DispatchReply FakeDispatcher::finish(const model::JobSpec &spec)
{
    model::JobStatus status;
    status.id = spec.id;
    status.kind = spec.kind;
    status.partner = spec.partner;
    status.name = spec.name;
    status.state = spec.kind == model::JobKind::Request ? model::JobState::Done : model::JobState::Accepted;
    status.answer = spec.kind == model::JobKind::Request ? spec.payload : "";
    status.tasks.push_back({0, status.state, ResultCode::Ok, "up-1", 1});
    this->jobs[spec.id] = status;
    return {ResultCode::Ok, "", status};
}

entry::DispatchReply FakeDispatcher::find(const model::JobId &id)
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? entry::DispatchReply{ResultCode::NotFound, "The work does not exist.", {}}
                                     : entry::DispatchReply{ResultCode::Ok, "", found->second};
}

void FakeDispatcher::submit(model::JobSpec spec, const std::string &, entry::DispatchDone done)
{
    entry::DispatchReply reply;
    {
        absl::MutexLock lock(&this->mutex);
        this->last = spec;
        if (this->refusal != ResultCode::Ok) {
            reply = {this->refusal, "Refused.", {}};
        } else if (this->holding) {
            this->held.emplace_back(std::move(spec), std::move(done));
            return;
        } else {
            reply = this->finish(spec);
        }
    }
    done(reply);
}

void FakeDispatcher::lookup(const model::JobId &id, std::chrono::milliseconds wait, const std::string &, entry::DispatchDone done)
{
    if (wait.count() > 0) {
        absl::MutexLock lock(&this->mutex);
        if (this->holding) {
            this->heldLookups.push_back(std::move(done));
            return;
        }
    }
    done(this->find(id));
}

void FakeDispatcher::cancel(const model::JobId &id, const std::string &, entry::DispatchDone done)
{
    entry::DispatchReply reply = this->find(id);
    reply.status.state = model::JobState::NotRun;
    reply.status.code = ResultCode::CancelledBeforeStart;
    done(reply);
}

void FakeDispatcher::announce(model::UpstreamReport newReport, entry::AnnounceDone done)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->report = std::move(newReport);
    }
    done({ResultCode::Ok, "", 7, std::chrono::milliseconds(50)});
}

void FakeDispatcher::view(const std::string &what, const std::string &filter, entry::TextDone done)
{
    done(ResultCode::Ok, R"({"what":")" + what + R"(","filter":")" + filter + R"("})");
}

void FakeDispatcher::changeMembers(const std::string &zone, const std::vector<std::string> &vms, const std::string &witness, entry::TextDone done)
{
    std::string text = zone + ":";
    for (const std::string &vm : vms) {
        text += " " + vm;
    }
    done(ResultCode::Ok, "{\"members\":\"" + text + " witness " + witness + "\"}");
}

void FakeDispatcher::drain(const std::string &vm, bool, entry::TextDone done)
{
    if (vm == "vm-a") {
        done(ResultCode::Ok, "{}");
    } else {
        done(ResultCode::UnknownVm, "The register has no such VM.");
    }
}

void FakeDispatcher::hold(bool value)
{
    absl::MutexLock lock(&this->mutex);
    this->holding = value;
}

std::size_t FakeDispatcher::heldCount() const
{
    absl::MutexLock lock(&this->mutex);
    return this->held.size() + this->heldLookups.size();
}

void FakeDispatcher::releaseAll()
{
    std::vector<std::pair<entry::DispatchReply, entry::DispatchDone>> ready;
    {
        absl::MutexLock lock(&this->mutex);
        for (auto &[spec, done] : this->held) {
            ready.emplace_back(this->finish(spec), std::move(done));
        }
        this->held.clear();
    }
    std::reverse(ready.begin(), ready.end());
    for (auto &[reply, done] : ready) {
        done(reply);
    }
}

void FakeDispatcher::refuseWith(ResultCode code)
{
    absl::MutexLock lock(&this->mutex);
    this->refusal = code;
}

model::JobSpec FakeDispatcher::lastSpec() const
{
    absl::MutexLock lock(&this->mutex);
    return this->last;
}

model::UpstreamReport FakeDispatcher::lastReport() const
{
    absl::MutexLock lock(&this->mutex);
    return this->report;
}

} // namespace cranberryreel::testsupport
