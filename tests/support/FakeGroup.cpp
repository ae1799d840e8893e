#include "support/FakeGroup.h"

#include <utility>

namespace cranberryreel::testsupport
{

FakeGroup::FakeGroup(replication::StateMachine &stateMachine)
    : machine(stateMachine)
{
}

void FakeGroup::start()
{
}

void FakeGroup::stop(std::chrono::milliseconds /*limit*/)
{
}

void FakeGroup::propose(std::string command, replication::Durability durability, replication::ProposeCallback done)
{
    this->proposals += 1;
    if (!this->leads) {
        done({base::ResultCode::NotLeader, {}});
        return;
    }
    if (this->proposalsToRefuse > 0) {
        --this->proposalsToRefuse;
        done({base::ResultCode::NotLeader, {}});
        return;
    }
    if (durability == replication::Durability::SyncedDisk && !this->hasDisk) {
        done({base::ResultCode::NoDurableStore, {}});
        return;
    }
    if (this->stalls) {
        const absl::MutexLock lock(&this->mutex);
        this->waiting.emplace_back(std::move(command), std::move(done));
        return;
    }
    this->apply(command, done);
}

void FakeGroup::apply(const std::string &command, const replication::ProposeCallback &done)
{
    std::string result;
    {
        absl::MutexLock lock(&this->mutex);
        this->index += 1;
        result = this->machine.apply(this->index, command);
    }
    done({base::ResultCode::Ok, result});
}

void FakeGroup::resume()
{
    this->stalls = false;
    std::vector<std::pair<std::string, replication::ProposeCallback>> late;
    {
        const absl::MutexLock lock(&this->mutex);
        late.swap(this->waiting);
    }
    for (const auto &[command, done] : late) {
        this->apply(command, done);
    }
}

void FakeGroup::readBarrier(std::function<void(base::ResultCode)> done)
{
    done(base::ResultCode::Ok);
}

void FakeGroup::receive(const std::string & /*fromVm*/, std::string /*bytes*/)
{
}

void FakeGroup::changeMembers(std::vector<replication::Member> /*members*/, replication::ProposeCallback done)
{
    done({base::ResultCode::NotLeader, {}});
}

void FakeGroup::setStandbys(std::vector<std::string> /*vms*/)
{
}

void FakeGroup::raiseTerm(std::uint64_t atLeast)
{
    this->raisedTo = atLeast;
}

replication::GroupStatus FakeGroup::status() const
{
    return {};
}

bool FakeGroup::holdsLease(base::SteadyTime /*now*/) const
{
    return this->leads;
}

} // namespace cranberryreel::testsupport
