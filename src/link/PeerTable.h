#pragma once

#include "link/PeerLink.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

namespace cranberryreel::link
{

/// The links of a hub by VM. Links are never removed, so pointers to them stay valid as long as the table. Owned by the hub; any thread.
class PeerTable
{
public:
    void insert(std::unique_ptr<PeerLink> link)
    {
        const absl::MutexLock lock(&this->mutex);
        const std::string vm = link->vm();
        if (const auto [place, added] = this->links.emplace(vm, std::move(link)); added) {
            this->inOrder.push_back(place->second.get());
        }
    }

    /// Returns null for an unknown VM.
    PeerLink *find(const std::string &vm) const
    {
        const absl::ReaderMutexLock lock(&this->mutex);
        const auto found = this->links.find(vm);
        return found == this->links.end() ? nullptr : found->second.get();
    }

    /// Returns all links in the order in which they were added.
    std::vector<PeerLink *> all() const
    {
        const absl::ReaderMutexLock lock(&this->mutex);
        return this->inOrder;
    }

private:
    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, std::unique_ptr<PeerLink>> links ABSL_GUARDED_BY(mutex);
    std::vector<PeerLink *> inOrder ABSL_GUARDED_BY(mutex);
};

} // namespace cranberryreel::link
