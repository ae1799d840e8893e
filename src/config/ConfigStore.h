#pragma once

#include "config/ConfigService.h"
#include "replication/StateMachine.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::config
{

namespace wire
{
struct ChangeEntryT;
}

/// Tells two changes with one id apart.
struct ChangeDigest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    static ChangeDigest of(const Change &change);

    friend bool operator==(const ChangeDigest &left, const ChangeDigest &right)
    {
        return left.low == right.low && left.high == right.high;
    }
};

/// One revision's texts, unread.
struct RevisionTexts {
    std::uint64_t revision = 0;
    std::string registerText;
    std::string rulesText;
};

struct ConfigStoreOptions {
    std::size_t keptAnswers = 5000; ///< Change ids whose answers are remembered. A change resent later conflicts, since its revision is long past.
};

/// The replicated configuration: compare-and-set on the revision, and the answer to each recent change id. Commands are changes that the leader has
/// checked already, so that applying them reads no INI and daemons of unlike versions stay alike. They hold differences: the compared revision says from
/// what. Owned by the member's config service; applied by its group's thread, read by any.
class ConfigStore : public replication::StateMachine
{
public:
    explicit ConfigStore(const ConfigStoreOptions &options = {});

    /// Called after each new revision and restore, on the group's thread, without any lock. Before the group starts only.
    void onRevision(std::function<void(const RevisionTexts &)> listener);

    /// The log entry for a change. It holds only the difference from `now`, so `now` must be the state at the change's revision where that has one here.
    static std::string command(const Change &change, const RevisionTexts &now);

    /// Reads what apply() returned.
    static ChangeReply reply(std::string_view result);

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    RevisionTexts texts() const;

    /// The answer that the change, or another with its id, got before; empty when its id is not known.
    std::optional<ChangeReply> answerTo(const Change &change) const;

private:
    struct KeptAnswer {
        ChangeDigest digest; ///< Of the change, so that its id cannot stand for another.
        base::ResultCode code = base::ResultCode::Ok;
        std::uint64_t revision = 0;
    };

    static ChangeReply replyOf(base::ResultCode code, std::uint64_t revision);

    std::optional<ChangeReply> keptReply(const std::string &id, const ChangeDigest &digest) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
    ChangeReply decide(const wire::ChangeEntryT &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    base::ResultCode take(const wire::ChangeEntryT &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void keep(const std::string &id, const KeptAnswer &answer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ConfigStoreOptions options;
    std::function<void(const RevisionTexts &)> listener;
    mutable absl::Mutex mutex;
    RevisionTexts current ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, KeptAnswer> answers ABSL_GUARDED_BY(mutex);
    std::deque<std::string> answerOrder ABSL_GUARDED_BY(mutex); ///< Oldest first.
};

} // namespace cranberryreel::config
