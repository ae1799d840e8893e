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

/// Digest of a change, to detect two different changes with the same id.
struct ChangeDigest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    static ChangeDigest compute(const Change &change);

    friend bool operator==(const ChangeDigest &left, const ChangeDigest &right)
    {
        return left.low == right.low && left.high == right.high;
    }
};

/// The unparsed texts of one revision.
struct RevisionTexts {
    std::uint64_t revision = 0;
    std::string registerText;
    std::string rulesText;
};

struct ConfigStoreOptions {
    /// Number of change ids whose answers are stored. A change resent later gets a conflict, because its revision is outdated by then.
    std::size_t maxAnswers = 5000;
};

/// State machine of the replicated configuration: compare-and-set on the revision, and the answer to each recent change id. Commands are changes that the
/// leader has already validated, so applying them parses no INI and daemons of different versions reach the same state. A command holds the difference
/// from the compared revision's text. Owned by the member's config service; commands are applied by the group's thread, any thread may read.
class ConfigStore : public replication::StateMachine
{
public:
    explicit ConfigStore(const ConfigStoreOptions &options = {});

    /// Registers a listener that is called after each new revision and each restore, on the group's thread, without any lock held. Before the group starts
    /// only.
    void onRevision(std::function<void(const RevisionTexts &)> listener);

    /// Encodes a change as a command. The command holds only the difference from `now`, so `now` must be the state at the change's base revision if that exists
    /// here.
    static std::string encodeCommand(const Change &change, const RevisionTexts &now);

    /// Decodes the result that apply() returned.
    static ChangeReply decodeReply(std::string_view result);

    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(std::string_view bytes) override;

    RevisionTexts texts() const;

    /// Returns the stored reply to the change's id, ChangeIdReused if the id belongs to another change, or nullopt for an unknown id.
    std::optional<ChangeReply> findReply(const Change &change) const;

private:
    struct StoredAnswer {
        ChangeDigest digest; ///< Digest of the change, to detect reuse of its id for another change.
        base::ResultCode code = base::ResultCode::Ok;
        std::uint64_t revision = 0;
    };

    static ChangeReply makeReply(base::ResultCode code, std::uint64_t revision);

    std::optional<ChangeReply> findReplyById(const std::string &id, const ChangeDigest &digest) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
    ChangeReply applyOnce(const wire::ChangeEntryT &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    base::ResultCode applyDelta(const wire::ChangeEntryT &entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void storeAnswer(const std::string &id, const StoredAnswer &answer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const ConfigStoreOptions options;
    std::function<void(const RevisionTexts &)> listener;
    mutable absl::Mutex mutex;
    RevisionTexts current ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, StoredAnswer> answers ABSL_GUARDED_BY(mutex);
    std::deque<std::string> answerOrder ABSL_GUARDED_BY(mutex); ///< Oldest first.
};

} // namespace cranberryreel::config
