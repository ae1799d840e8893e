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

/// Holds the configuration in force at this VM. Moves to higher revisions only, and saves each revision on the VM's disk, if any, before it takes effect.
/// Owned by the VM's config service. Unless marked "Any thread", members may be used by the worker's tasks only.
class ActiveConfiguration
{
public:
    using Listener = std::function<void(std::shared_ptr<const Configuration>)>;
    using RevisionDone = std::function<void(std::uint64_t revision)>;

    /// `file` is null on a VM without a disk.
    ActiveConfiguration(std::shared_ptr<base::Mailbox> worker, std::unique_ptr<RevisionFile> file);

    void onChange(Listener listener); ///< Before the first activation only.

    /// Activates the revision saved on disk. Returns false when there is none or it cannot be read.
    bool loadFromDisk();

    /// Any thread.
    std::shared_ptr<const Configuration> current() const;
    std::uint64_t revision() const;

    /// Returns one of the last few revisions that were in force here, or null for any other. Any thread.
    std::shared_ptr<const Configuration> findRecent(std::uint64_t revision) const;

    /// Puts the texts in force if their revision is higher. If a text is invalid or the disk cannot be written, the previous revision stays in force.
    void activate(const RevisionTexts &texts);

    /// Activates the highest revision that could not be saved yet, if any.
    void retryUnsaved();

    /// Calls `done` with the revision in force once it is at least `revision`, or when the limit has passed.
    void notifyAtRevision(std::uint64_t revision, std::chrono::milliseconds limit, RevisionDone done);

private:
    struct Waiter {
        std::uint64_t revision = 0;
        RevisionDone done;
    };

    bool save(const RevisionTexts &texts);
    void setCurrent(const std::shared_ptr<const Configuration> &next);
    void answerWaiters();

    const std::shared_ptr<base::Mailbox> worker;
    const std::unique_ptr<RevisionFile> file;
    std::optional<RevisionTexts> unsaved; ///< The highest revision whose save failed.
    std::vector<Listener> listeners;
    std::list<std::shared_ptr<Waiter>> waiters;
    mutable absl::Mutex mutex;
    std::shared_ptr<const Configuration> configuration ABSL_GUARDED_BY(mutex);
    std::deque<std::shared_ptr<const Configuration>> history ABSL_GUARDED_BY(mutex); ///< Newest last.
};

} // namespace cranberryreel::config
