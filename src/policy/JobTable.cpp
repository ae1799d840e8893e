#include "policy/JobTable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cranberryreel::policy
{

JobIndex JobTable::add(JobEntry entry)
{
    JobIndex index = static_cast<JobIndex>(this->entries.size());
    if (this->freeIndexes.empty()) {
        this->entries.emplace_back();
    } else {
        index = this->freeIndexes.back();
        this->freeIndexes.pop_back();
    }
    this->byId[entry.id] = index;
    this->entries[index] = std::make_unique<JobEntry>(std::move(entry));
    return index;
}

void JobTable::remove(JobIndex job)
{
    this->byId.erase(this->entries[job]->id);
    this->entries[job].reset();
    this->freeIndexes.push_back(job);
}

JobIndex JobTable::find(const model::JobId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? NoIndex : found->second;
}

std::vector<JobIndex> JobTable::allJobs() const
{
    std::vector<JobIndex> indexes;
    indexes.reserve(this->byId.size());
    for (const auto &[id, index] : this->byId) {
        indexes.push_back(index);
    }
    std::sort(indexes.begin(), indexes.end());
    return indexes;
}

std::uint32_t JobTable::nextWaitingTask(JobEntry &job)
{
    auto &heap = job.requeued;
    while (!heap.empty()) {
        if (job.tasks[heap.front()].phase == TaskPhase::Waiting) {
            return heap.front();
        }
        std::pop_heap(heap.begin(), heap.end(), std::greater<>());
        heap.pop_back();
    }
    while (job.tasks[job.nextUnstarted].phase != TaskPhase::Waiting) {
        ++job.nextUnstarted;
    }
    return job.nextUnstarted;
}

void JobTable::requeueTask(JobEntry &job, std::uint32_t task)
{
    job.tasks[task].phase = TaskPhase::Waiting;
    if (task >= job.nextUnstarted) {
        return;
    }
    job.requeued.push_back(task);
    std::push_heap(job.requeued.begin(), job.requeued.end(), std::greater<>());
}

} // namespace cranberryreel::policy
