#include "support/FakeFleet.h"

#include <algorithm>
#include <utility>

namespace cranberryreel::testsupport
{

namespace
{

bool isReachable(Trouble trouble)
{
    return trouble != Trouble::Unreachable;
}

bool deliversAnswers(Trouble trouble)
{
    return trouble != Trouble::Unreachable && trouble != Trouble::LosesAnswers;
}

upstream::TaskAnswer unreachableAnswer()
{
    upstream::TaskAnswer answer;
    answer.code = base::ResultCode::UpstreamUnreachable;
    return answer;
}

} // namespace

void FakeFleet::add(const std::string &id, const std::string &vm, std::uint32_t slots)
{
    absl::MutexLock lock(&this->mutex);
    Instance &instance = this->instances[id];
    instance.self.id = id;
    instance.self.vm = vm;
    instance.self.zone = "z";
    instance.self.boot = "boot-1";
    instance.self.address = id;
    instance.self.slots = slots;
}

void FakeFleet::setTrouble(const std::string &id, Trouble trouble)
{
    absl::MutexLock lock(&this->mutex);
    this->instances[id].trouble = trouble;
}

void FakeFleet::restart(const std::string &id)
{
    absl::MutexLock lock(&this->mutex);
    Instance &instance = this->instances[id];
    instance.boots += 1;
    instance.self.boot = "boot-" + std::to_string(instance.boots);
    instance.tasks.clear();
}

void FakeFleet::setLeaving(const std::string &id)
{
    absl::MutexLock lock(&this->mutex);
    this->instances[id].self.leaving = true;
}

void FakeFleet::move(const std::string &id, const std::string &address)
{
    absl::MutexLock lock(&this->mutex);
    auto moved = this->instances.extract(id);
    moved.key() = address;
    moved.mapped().self.address = address;
    this->instances.insert(std::move(moved));
    this->instances[id].trouble = Trouble::Unreachable;
}

void FakeFleet::finish(const std::string &taskId, model::JobState state, const std::string &answer)
{
    absl::MutexLock lock(&this->mutex);
    for (auto &[id, instance] : this->instances) {
        if (const auto found = instance.tasks.find(taskId); found != instance.tasks.end()) {
            found->second.state = state;
            found->second.answer = answer;
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
    const Instance &instance = this->instances.at(id);
    model::UpstreamReport report = instance.self;
    for (const auto &[taskId, task] : instance.tasks) {
        report.tasks.push_back(task);
    }
    return report;
}

std::size_t FakeFleet::startsOf(const std::string &taskId) const
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->starts.find(taskId);
    return found == this->starts.end() ? 0 : found->second;
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

void FakeFleet::endTasksWithExpiredLease()
{
    const base::SteadyTime now = base::steadyNow();
    for (auto &[id, instance] : this->instances) {
        for (auto &[taskId, task] : instance.tasks) {
            if (task.state == model::JobState::Running && instance.leaseUntil < now) {
                task.state = model::JobState::Failed;
            }
        }
    }
}

bool FakeFleet::runsElsewhere(const Instance &except, const std::string &taskId) const
{
    for (const auto &[id, instance] : this->instances) {
        const auto found = instance.tasks.find(taskId);
        if (&instance != &except && found != instance.tasks.end() && found->second.state == model::JobState::Running) {
            return true;
        }
    }
    return false;
}

std::vector<std::string> FakeFleet::running() const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<std::string> ids;
    for (const auto &[id, instance] : this->instances) {
        for (const auto &[taskId, task] : instance.tasks) {
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
        this->endTasksWithExpiredLease();
        Instance &instance = this->instances[address];
        if (isReachable(instance.trouble) && instance.trouble != Trouble::LosesStarts) {
            answer = this->startOn(instance, order);
        }
        if (!deliversAnswers(instance.trouble) || instance.trouble == Trouble::LosesStarts || instance.trouble == Trouble::LosesStartAnswers) {
            answer = unreachableAnswer();
        }
    }
    done(answer);
}

upstream::TaskAnswer FakeFleet::startOn(Instance &instance, const upstream::StartRequest &order)
{
    upstream::TaskAnswer answer;
    if (order.epoch < instance.self.epoch) {
        answer.code = base::ResultCode::UpstreamStaleEpoch;
        return answer;
    }
    if (const auto refused = instance.lastRefusedAttempt.find(order.taskId); refused != instance.lastRefusedAttempt.end() && order.attempt <= refused->second) {
        answer.code = base::ResultCode::UpstreamRefused;
        return answer;
    }
    model::TaskReport &task = instance.tasks[order.taskId];
    instance.leaseUntil = std::max(instance.leaseUntil, base::steadyNow() + order.lease);
    if (task.attempt != order.attempt) {
        this->overlapCount += this->runsElsewhere(instance, order.taskId) ? 1 : 0;
        task = {};
        task.taskId = order.taskId;
        task.attempt = order.attempt;
        task.reserved = order.reserved;
        this->starts[order.taskId] += 1;
        if (instance.trouble == Trouble::FailsAll) {
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
        this->endTasksWithExpiredLease();
        Instance &instance = this->instances[address];
        if (isReachable(instance.trouble)) {
            answer = this->renewOn(instance, order);
        }
        if (!deliversAnswers(instance.trouble)) {
            answer = {};
            answer.code = base::ResultCode::UpstreamUnreachable;
        }
    }
    done(answer);
}

upstream::RenewAnswer FakeFleet::renewOn(Instance &instance, const upstream::RenewRequest &order)
{
    upstream::RenewAnswer answer;
    if (order.epoch < instance.self.epoch) {
        answer.code = base::ResultCode::UpstreamStaleEpoch;
        return answer;
    }
    instance.self.epoch = order.epoch;
    instance.leaseUntil = std::max(instance.leaseUntil, base::steadyNow() + order.lease);
    for (const model::TaskAttempt &ended : order.acknowledged) {
        const auto found = instance.tasks.find(ended.taskId);
        if (found != instance.tasks.end() && found->second.attempt == ended.attempt && model::isFinal(found->second.state)) {
            instance.tasks.erase(found);
        }
    }
    answer.report = instance.self;
    for (const auto &[taskId, task] : instance.tasks) {
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
        this->endTasksWithExpiredLease();
        Instance &instance = this->instances[address];
        if (!deliversAnswers(instance.trouble)) {
            answer = unreachableAnswer();
        } else if (const auto found = instance.tasks.find(taskId); found != instance.tasks.end()) {
            answer.report = found->second;
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
        this->endTasksWithExpiredLease();
        Instance &instance = this->instances[address];
        const auto found = instance.tasks.find(taskId);
        if (isReachable(instance.trouble) && taskCommand == upstream::TaskCommand::Stop) {
            instance.lastRefusedAttempt[taskId] = std::max(instance.lastRefusedAttempt[taskId], attempt);
        }
        if (!deliversAnswers(instance.trouble)) {
            answer = unreachableAnswer();
        } else if (found == instance.tasks.end()) {
            answer.code = base::ResultCode::NotFound;
        } else {
            if (taskCommand == upstream::TaskCommand::Stop && found->second.state == model::JobState::Running) {
                found->second.state = model::JobState::Failed;
            }
            answer.report = found->second;
        }
    }
    done(answer);
}

} // namespace cranberryreel::testsupport
