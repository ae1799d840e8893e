#include "zone/ChangeBatch.h"

#include "zone/Commands.h"
#include "zone/UnixTime.h"

#include <memory>
#include <utility>

namespace cranberryreel::zone
{

ChangeBatch::ChangeBatch(SchedulerContext &schedulerContext, std::function<void()> flushRequest)
    : context(schedulerContext)
    , requestFlush(std::move(flushRequest))
{
}

void ChangeBatch::add(TaskChange change, bool isRepeatable, DoneCallback done)
{
    PendingChanges &pending = isRepeatable ? this->repeatableChanges : this->runOnceChanges;
    pending.changes.push_back(std::move(change));
    pending.done.push_back(std::move(done));
    this->requestFlush();
}

void ChangeBatch::flush()
{
    this->propose(std::exchange(this->repeatableChanges, {}), replication::Durability::Majority);
    this->propose(std::exchange(this->runOnceChanges, {}), replication::Durability::SyncedDisk);
}

void ChangeBatch::propose(PendingChanges pending, replication::Durability durability)
{
    if (pending.changes.empty()) {
        return;
    }
    const std::string command = changeCommand(pending.changes, unixNow());
    auto callbacks = std::make_shared<std::vector<DoneCallback>>(std::move(pending.done));
    this->context.group.propose(command, durability, [callbacks, postInTerm = this->context.postInTerm](const replication::ProposeResult &result) {
        postInTerm([callbacks, result] {
            for (std::size_t index = 0; index < callbacks->size(); ++index) {
                const bool allowed = index < result.result.size() && result.result[index] == '1';
                const base::ResultCode changeCode = allowed ? base::ResultCode::Ok : base::ResultCode::NotFound;
                (*callbacks)[index](result.code == base::ResultCode::Ok ? changeCode : result.code);
            }
        });
    });
}

} // namespace cranberryreel::zone
