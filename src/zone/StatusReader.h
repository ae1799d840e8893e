#pragma once

#include "zone/ActiveJob.h"
#include "zone/JobTable.h"
#include "zone/ZoneReply.h"
#include "zone/ZoneStore.h"

namespace cranberryreel::zone
{

/// Reads what may be told of a job: from the store where it is replicated, else from the scheduler's own table. Owned by Submissions; one thread.
class StatusReader
{
public:
    StatusReader(JobTable &jobTable, const ZoneStore &zoneStore);

    /// NotFound where no such job is known.
    ZoneReply of(const model::JobId &id);
    /// One piece of the answer from `offset` on, without a copy of the whole.
    ZoneReply piece(const model::JobId &id, std::uint64_t offset);
    ZoneReply ofActive(const ActiveJob &job) const;

private:
    JobTable &jobs;
    const ZoneStore &store;
};

} // namespace cranberryreel::zone
