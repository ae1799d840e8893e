#include "support/FakeFleet.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::testsupport
{

namespace
{

bool reaches(Trouble trouble)
{
    return trouble != Trouble::Unreachable;
}

bool answers(Trouble trouble)
{
    return trouble != Trouble::Unreachable && trouble != Trouble::LosesAnswers;
}

upstream::TaskAnswer lostAnswer()
{
    upstream::TaskAnswer answer;
    answer.code = base::ResultCode::UpstreamUnreachable;
    return answer;
}

} // namespace

void FakeFleet::add(const std::string &id, const std::string &vm, std::uint32_t slots)
{
    absl::MutexLock lock(&this->mutex);
    Worker &worker = this->workers[id];
    worker.self.id = id;
    worker.self.vm = vm;
    worker.self.zone = "z";
    worker.self.boot = "boot-1";
    worker.self.address = id;
    worker.self.slots = slots;
}

void FakeFleet::setTrouble(const std::string &id, Trouble trouble)
{
    absl::MutexLock lock(&this->mutex);
    this->workers[id].trouble = trouble;
}

void FakeFleet::restart(const std::string &id)
{
    absl::MutexLock lock(&this->mutex);
    Worker &worker = this->workers[id];
    worker.boots += 1;
    worker.self.boot = "boot-" + std::to_string(worker.boots);
    worker.tasks.clear();
}

void FakeFleet::setLeaving(const std::string &id)
{
    absl::MutexLock lock(&this->mutex);
    this->workers[id].self.leaving = true;
}

void FakeFleet::finish(const std::string &taskId, model::JobState state, const std::string &answer)
{
    absl::MutexLock lock(&this->mutex);
    for (auto &[id, worker] : this->workers) {
        if (const auto place = worker.tasks.find(taskId); place != worker.tasks.end()) {
            place->second.state = state;
            place->second.answer = answer;
        }
    }
}

void FakeFleet::setInstantRequests(bool instant)
{
    absl::MutexLock lock(&this->mutex);
    this->instantRequests = instant;
}

model::UpstreamReport FakeFleet::report(const std::string &id) const
{
    absl::MutexLock lock(&this->mutex);
    const Worker &worker = this->workers.at(id);
    model::UpstreamReport out = worker.self;
    for (const auto &[taskId, task] : worker.tasks) {
        out.tasks.push_back(task);
    }
    return out;
}

std::size_t FakeFleet::startsOf(const std::string &taskId) const
{
    absl::MutexLock lock(&this->mutex);
    const auto place = this->starts.find(taskId);
    return place == this->starts.end() ? 0 : place->second;
}

std::size_t FakeFleet::allStarts() const
{
    absl::MutexLock lock(&this->mutex);
    std::size_t count = 0;
    for (const auto &[id, times] : this->starts) {
        count += times;
    }
    return count;
}

std::size_t FakeFleet::overlaps() const
{
    absl::MutexLock lock(&this->mutex);
    return this->overlapCount;
}

void FakeFleet::endWhatLostItsLease()
{
    const base::SteadyTime now = base::steadyNow();
    for (auto &[id, worker] : this->workers) {
        for (auto &[taskId, task] : worker.tasks) {
            if (task.state == model::JobState::Running && worker.leaseUntil < now) {
                task.state = model::JobState::Failed;
            }
        }
    }
}

bool FakeFleet::runsElsewhere(const Worker &here, const std::string &taskId) const
{
    for (const auto &[id, worker] : this->workers) {
        const auto place = worker.tasks.find(taskId);
        if (&worker != &here && place != worker.tasks.end() && place->second.state == model::JobState::Running) {
            return true;
        }
    }
    return false;
}

std::vector<std::string> FakeFleet::running() const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> ids;
    for (const auto &[id, worker] : this->workers) {
        for (const auto &[taskId, task] : worker.tasks) {
            if (task.state == model::JobState::Running) {
                ids.push_back(taskId);
            }
        }
    }
    return ids;
}

void FakeFleet::start(const std::string &address,
                      const upstream::StartRequest &order,
                      std::chrono::milliseconds /*limit*/,
                      const std::string & /*traceparent*/,
                      upstream::TaskDone done)
{
    upstream::TaskAnswer answer;
    {
        absl::MutexLock lock(&this->mutex);
        this->endWhatLostItsLease();
        Worker &worker = this->workers[address];
        if (reaches(worker.trouble) && worker.trouble != Trouble::LosesStarts) {
            answer = this->startHere(worker, order);
        }
        if (!answers(worker.trouble) || worker.trouble == Trouble::LosesStarts || worker.trouble == Trouble::LosesStartAnswers) {
            answer = lostAnswer();
        }
    }
    done(answer);
}

upstream::TaskAnswer FakeFleet::startHere(Worker &worker, const upstream::StartRequest &order)
{
    upstream::TaskAnswer answer;
    if (order.epoch < worker.self.epoch) {
        answer.code = base::ResultCode::UpstreamStaleEpoch;
        return answer;
    }
    if (const auto barred = worker.barredUpTo.find(order.taskId); barred != worker.barredUpTo.end() && order.attempt <= barred->second) {
        answer.code = base::ResultCode::UpstreamRefused;
        return answer;
    }
    model::TaskReport &task = worker.tasks[order.taskId];
    worker.leaseUntil = std::max(worker.leaseUntil, base::steadyNow() + order.lease);
    if (task.attempt != order.attempt) {
        this->overlapCount += this->runsElsewhere(worker, order.taskId) ? 1 : 0;
        task = {};
        task.taskId = order.taskId;
        task.attempt = order.attempt;
        task.reserved = order.reserved;
        this->starts[order.taskId] += 1;
        if (worker.trouble == Trouble::FailsAll) {
            task.state = model::JobState::Failed;
        } else if (order.kind == model::JobKind::Request && this->instantRequests) {
            task.state = model::JobState::Done;
            task.answer = "echo:" + order.payload;
        }
    }
    answer.report = task;
    return answer;
}

void FakeFleet::renew(const std::string &address, const upstream::RenewRequest &order, std::chrono::milliseconds /*limit*/, upstream::RenewDone done)
{
    upstream::RenewAnswer answer;
    {
        absl::MutexLock lock(&this->mutex);
        this->endWhatLostItsLease();
        Worker &worker = this->workers[address];
        if (reaches(worker.trouble)) {
            answer = this->renewHere(worker, order);
        }
        if (!answers(worker.trouble)) {
            answer = {};
            answer.code = base::ResultCode::UpstreamUnreachable;
        }
    }
    done(answer);
}

upstream::RenewAnswer FakeFleet::renewHere(Worker &worker, const upstream::RenewRequest &order)
{
    upstream::RenewAnswer answer;
    if (order.epoch < worker.self.epoch) {
        answer.code = base::ResultCode::UpstreamStaleEpoch;
        return answer;
    }
    worker.self.epoch = order.epoch;
    worker.leaseUntil = std::max(worker.leaseUntil, base::steadyNow() + order.lease);
    for (const model::TaskAttempt &ended : order.acknowledged) {
        const auto place = worker.tasks.find(ended.taskId);
        if (place != worker.tasks.end() && place->second.attempt == ended.attempt && model::isFinal(place->second.state)) {
            worker.tasks.erase(place);
        }
    }
    answer.report = worker.self;
    for (const auto &[taskId, task] : worker.tasks) {
        if (order.includeRunning || model::isFinal(task.state)) {
            answer.report.tasks.push_back(task);
        }
    }
    return answer;
}

void FakeFleet::queryTask(const std::string &address, const std::string &taskId, std::chrono::milliseconds /*limit*/, upstream::TaskDone done)
{
    upstream::TaskAnswer answer;
    {
        absl::MutexLock lock(&this->mutex);
        this->endWhatLostItsLease();
        Worker &worker = this->workers[address];
        if (!answers(worker.trouble)) {
            answer = lostAnswer();
        } else if (const auto place = worker.tasks.find(taskId); place != worker.tasks.end()) {
            answer.report = place->second;
        } else {
            answer.code = base::ResultCode::NotFound;
        }
    }
    done(answer);
}

void FakeFleet::command(const std::string &address,
                        const std::string &taskId,
                        std::uint32_t attempt,
                        upstream::TaskCommand taskCommand,
                        std::uint64_t /*epoch*/,
                        std::chrono::milliseconds /*limit*/,
                        upstream::TaskDone done)
{
    upstream::TaskAnswer answer;
    {
        absl::MutexLock lock(&this->mutex);
        this->endWhatLostItsLease();
        Worker &worker = this->workers[address];
        const auto place = worker.tasks.find(taskId);
        if (reaches(worker.trouble) && taskCommand == upstream::TaskCommand::Stop) {
            worker.barredUpTo[taskId] = std::max(worker.barredUpTo[taskId], attempt);
        }
        if (!answers(worker.trouble)) {
            answer = lostAnswer();
        } else if (place == worker.tasks.end()) {
            answer.code = base::ResultCode::NotFound;
        } else {
            if (taskCommand == upstream::TaskCommand::Stop && place->second.state == model::JobState::Running) {
                place->second.state = model::JobState::Failed;
            }
            answer.report = place->second;
        }
    }
    done(answer);
}

} // namespace cranberryreel::testsupport
