#pragma once

#include "config/ConfigStore.h"
#include "config/WireCodec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A store with one injected fault, which the fuzz test must detect.
class FaultyConfigStore : public cranberryreel::replication::StateMachine
{
public:
    using Command = cranberryreel::config::wire::ChangeEntryT;
    using Snapshot = cranberryreel::config::wire::SnapshotT;

    struct Fault {
        const char *name;
        std::size_t maxAnswers = 5000;
        std::function<void(Command &command, std::uint64_t revision)> onCommand;
        std::function<void(Snapshot &snapshot)> onSnapshot;
        bool appliesTwice = false;
        bool ignoresRestore = false; ///< Restore does nothing.
    };

    explicit FaultyConfigStore(const Fault &injected)
        : fault(injected)
        , store({injected.maxAnswers})
    {
    }

    std::string apply(std::uint64_t index, std::string_view command) override
    {
        const auto decoded = cranberryreel::config::decode<Command>(command);
        if (this->fault.onCommand) {
            this->fault.onCommand(*decoded, this->store.texts().revision);
        }
        const std::string changed = cranberryreel::config::encode(*decoded);
        if (this->fault.appliesTwice) {
            this->store.apply(index, changed);
            decoded->id += "-again";
            decoded->from_revision++;
            return this->store.apply(index, cranberryreel::config::encode(*decoded));
        }
        return this->store.apply(index, changed);
    }

    std::string snapshot() const override
    {
        const auto decoded = cranberryreel::config::decode<Snapshot>(this->store.snapshot());
        if (this->fault.onSnapshot) {
            this->fault.onSnapshot(*decoded);
        }
        return cranberryreel::config::encode(*decoded);
    }

    void restore(std::string_view bytes) override
    {
        if (!this->fault.ignoresRestore) {
            this->store.restore(bytes);
        }
    }

private:
    const Fault fault;
    cranberryreel::config::ConfigStore store;
};

inline std::vector<FaultyConfigStore::Fault> configStoreFaults()
{
    using Command = FaultyConfigStore::Command;
    using Snapshot = FaultyConfigStore::Snapshot;
    std::vector<FaultyConfigStore::Fault> faults(10);
    faults[0].name = "skips the comparison of revisions";
    faults[0].onCommand = [](Command &command, std::uint64_t revision) { command.from_revision = revision; };
    faults[1].name = "accepts a change based on the previous revision";
    faults[1].onCommand = [](Command &command, std::uint64_t revision) { command.from_revision += command.from_revision + 1 == revision ? 1 : 0; };
    faults[2].name = "stores no change ids";
    faults[2].maxAnswers = 0;
    faults[3].name = "loses change ids on compaction";
    faults[3].onSnapshot = [](Snapshot &snapshot) { snapshot.answers.clear(); };
    faults[4].name = "keeps only answers that were Ok on compaction";
    faults[4].onSnapshot = [](Snapshot &snapshot) {
        auto &answers = snapshot.answers;
        answers.erase(std::remove_if(answers.begin(), answers.end(), [](const auto &answer) { return answer->code != 0; }), answers.end());
    };
    faults[5].name = "does not detect an id reused for another change";
    faults[5].onCommand = [](Command &command, std::uint64_t /*revision*/) { command.digest_low = command.digest_high = 1; };
    faults[6].name = "loses the rules on compaction";
    faults[6].onSnapshot = [](Snapshot &snapshot) { snapshot.rules_text.clear(); };
    faults[7].name = "falls back by one revision on restart";
    faults[7].onSnapshot = [](Snapshot &snapshot) { snapshot.revision -= snapshot.revision > 0 ? 1 : 0; };
    faults[8].name = "applies a change twice";
    faults[8].appliesTwice = true;
    faults[9].name = "starts empty after a compaction";
    faults[9].ignoresRestore = true;
    return faults;
}
