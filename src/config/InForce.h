#pragma once

#include "base/Mailbox.h"
#include "config/Configuration.h"
#include "config/RevisionFile.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace cranberryreel::config
{

/// What is in force at this VM: only ever moves to a higher revision, and keeps it on disk first where there is one. Owned by the VM's config service.
/// All but current() belongs to the worker's tasks.
class InForce
{
public:
    using Listener = std::function<void(std::shared_ptr<const Configuration>)>;
    using RevisionDone = std::function<void(std::uint64_t revision)>;

    /// `file` is null on a VM without a disk.
    InForce(std::shared_ptr<base::Mailbox> worker, std::unique_ptr<RevisionFile> file);

    void onChange(Listener listener); ///< Before any move only.

    /// Takes up the revision that the disk holds; false when it holds none.
    bool loadKept();

    /// Any thread.
    std::shared_ptr<const Configuration> current() const;
    std::uint64_t revision() const;

    /// One of the last few revisions that were in force here; null for any other. Any thread.
    std::shared_ptr<const Configuration> recent(std::uint64_t revision) const;

    /// Brings the texts in force if their revision is higher. On a text that cannot be read, or a disk that cannot be written, the old one stays in force.
    void moveTo(const RevisionTexts &texts);

    /// Tells the revision in force as soon as it is at least so high, or when the limit has passed.
    void whenAtLeast(std::uint64_t revision, std::chrono::milliseconds limit, RevisionDone done);

private:
    struct Waiter {
        std::uint64_t revision = 0;
        RevisionDone done;
    };

    void put(const std::shared_ptr<const Configuration> &next);
    void answerWaiters();

    const std::shared_ptr<base::Mailbox> worker;
    const std::unique_ptr<RevisionFile> file;
    std::vector<Listener> listeners;
    std::list<std::shared_ptr<Waiter>> waiters;
    mutable absl::Mutex mutex;
    std::shared_ptr<const Configuration> configuration ABSL_GUARDED_BY(mutex);
    std::deque<std::shared_ptr<const Configuration>> history ABSL_GUARDED_BY(mutex); ///< Newest last.
};

} // namespace cranberryreel::config
