#include "zone/ChangeBatch.h"

#include "zone/Commands.h"
#include "zone/UnixTime.h"

#include <memory>
#include <utility>

namespace cranberryreel::zone
{

ChangeBatch::ChangeBatch(SchedulerContext &schedulerContext, std::function<void()> wantFlush)
    : context(schedulerContext)
    , requestFlush(std::move(wantFlush))
{
}

void ChangeBatch::add(TaskChange change, bool isRepeatable, Done done)
{
    Lane &lane = isRepeatable ? this->repeatable : this->once;
    lane.changes.push_back(std::move(change));
    lane.done.push_back(std::move(done));
    this->requestFlush();
}

void ChangeBatch::flush()
{
    this->propose(std::exchange(this->repeatable, {}), replication::Durability::Majority);
    this->propose(std::exchange(this->once, {}), replication::Durability::SyncedDisk);
}

void ChangeBatch::propose(Lane lane, replication::Durability durability)
{
    if (lane.changes.empty()) {
        return;
    }
    const std::string command = changeCommand(lane.changes, unixNow());
    auto waiting = std::make_shared<std::vector<Done>>(std::move(lane.done));
    this->context.group.propose(command, durability, [waiting, guard = this->context.guard](const replication::ProposeResult &result) {
        guard([waiting, result] {
            for (std::size_t index = 0; index < waiting->size(); ++index) {
                const bool allowed = index < result.result.size() && result.result[index] == '1';
                const base::ResultCode ofChange = allowed ? base::ResultCode::Ok : base::ResultCode::NotFound;
                (*waiting)[index](result.code == base::ResultCode::Ok ? ofChange : result.code);
            }
        });
    });
}

} // namespace cranberryreel::zone
