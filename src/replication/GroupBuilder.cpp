#include "replication/GroupBuilder.h"

#include "replication/DiskLogStore.h"
#include "replication/GroupRunner.h"
#include "replication/MemoryLogStore.h"

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/base/Error.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace cranberryreel::replication
{

namespace
{

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

std::uint64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

[[noreturn]] void throwInconsistent(const std::string &sentence)
{
    throw base::Error(base::ResultCode::SettingsInconsistent, sentence);
}

} // namespace

GroupBuilder &GroupBuilder::ownVm(std::string name)
{
    this->vm = std::move(name);
    return *this;
}

GroupBuilder &GroupBuilder::members(std::vector<Member> list)
{
    this->memberList = std::move(list);
    return *this;
}

GroupBuilder &GroupBuilder::mayFormAnew(bool may)
{
    this->formsAnew = may;
    return *this;
}

GroupBuilder &GroupBuilder::formsOnlyOnce(bool once)
{
    this->formsOnce = once;
    return *this;
}

GroupBuilder &GroupBuilder::dataFolder(std::string path)
{
    this->folder = std::move(path);
    return *this;
}

GroupBuilder &GroupBuilder::logStore(std::unique_ptr<LogStore> logStore)
{
    this->store = std::move(logStore);
    return *this;
}

GroupBuilder &GroupBuilder::stateMachine(StateMachine &stateMachine)
{
    this->machine = &stateMachine;
    return *this;
}

GroupBuilder &GroupBuilder::listener(LeadershipListener &leadershipListener)
{
    this->leadership = &leadershipListener;
    return *this;
}

GroupBuilder &GroupBuilder::sendBy(SendToMember sendToMember)
{
    this->send = std::move(sendToMember);
    return *this;
}

GroupBuilder &GroupBuilder::timings(GroupTimings times)
{
    this->groupTimings = times;
    return *this;
}

GroupBuilder &GroupBuilder::termFloor(std::uint64_t term)
{
    this->floor = term;
    return *this;
}

GroupBuilder &GroupBuilder::seed(std::uint64_t number)
{
    this->randomSeed = number;
    return *this;
}

GroupBuilder &GroupBuilder::snapshotEvery(std::uint64_t entries)
{
    this->snapshotEveryEntries = entries;
    return *this;
}

void GroupBuilder::validate() const
{
    if (this->machine == nullptr || !this->send || this->vm.empty()) {
        throwInconsistent("A group needs its own VM, a state machine and a function that sends to its members.");
    }
    const GroupTimings &times = this->groupTimings;
    if (times.driftMargin.count() <= 0 || times.lease() <= 2 * times.heartbeat || times.electionMax < times.electionMin) {
        throwInconsistent("A group needs a positive drift margin, a lease longer than two heartbeats and electionMax of at least electionMin.");
    }
}

std::unique_ptr<Group> GroupBuilder::build()
{
    this->validate();
    GroupRunnerOptions options;
    options.core.ownVm = this->vm;
    options.core.boot = randomNumber();
    options.core.members = Membership(this->memberList);
    options.core.mayFormAnew = this->formsAnew;
    options.core.formsOnlyOnce = this->formsOnce;
    options.core.termFloor = this->floor.value_or(wallClockMilliseconds());
    options.core.seed = this->randomSeed.value_or(randomNumber());
    options.core.timings = this->groupTimings;
    options.core.timings.restartGrace = std::max(this->groupTimings.restartGrace, this->groupTimings.electionMax);
    options.core.timings.formationSettle = std::max(this->groupTimings.formationSettle, this->groupTimings.electionMax);
    const Member *own = options.core.members.find(this->vm);
    if (own == nullptr || own->hasDisk == this->folder.empty()) {
        throwInconsistent("A group member must be listed by its VM, with a disk exactly when it has a data folder.");
    }
    if (this->store) {
        options.store = std::move(this->store);
    } else if (this->folder.empty()) {
        options.store = std::make_unique<MemoryLogStore>();
    } else {
        options.store = std::make_unique<DiskLogStore>(this->folder);
    }
    options.stateMachine = this->machine;
    options.listener = this->leadership;
    options.sendToMember = this->send;
    options.snapshotEveryEntries = this->snapshotEveryEntries;
    return std::make_unique<GroupRunner>(std::move(options));
}

} // namespace cranberryreel::replication
