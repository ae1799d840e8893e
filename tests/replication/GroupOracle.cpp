#include "GroupOracle.h"

#include <fmt/format.h>

namespace cranberryreel::replication
{

void GroupOracle::violated(const std::string &rule)
{
    if (this->first.empty()) {
        this->first = rule;
    }
}

void GroupOracle::committed(const std::string &vm, const Entry &entry)
{
    const auto [place, isNew] = this->log.emplace(entry.index, entry);
    if (this->disastersHappen) {
        place->second = entry;
    } else if (!isNew && (place->second.term != entry.term || place->second.data != entry.data)) {
        this->violated(fmt::format("one log: {} committed another entry at {} (term {}, before {})", vm, entry.index, entry.term, place->second.term));
    }
}

void GroupOracle::applied(const std::string &vm, std::uint64_t index, std::uint64_t stateHash)
{
    const auto [place, isNew] = this->stateHashes.emplace(index, stateHash);
    if (!isNew && place->second != stateHash && !this->disastersHappen) {
        this->violated(fmt::format("one state: {} differs after {}", vm, index));
    }
}

void GroupOracle::leads(const std::string &vm, std::uint64_t term, std::uint64_t commitIndex)
{
    const auto [place, isNew] = this->leaders.emplace(term, vm);
    if (!isNew && place->second != vm) {
        this->violated(fmt::format("one leader a term: {} and {} in {}", vm, place->second, term));
    }
    if (isNew && !this->disastersHappen && commitIndex < this->highestAcknowledgedIndex) {
        this->violated(fmt::format("nothing lost: {} leads {} without {}", vm, term, this->highestAcknowledgedIndex));
    }
}

void GroupOracle::leasesHeld(const std::map<std::string, std::uint64_t> &termByVm)
{
    if (termByVm.size() > 1) {
        this->violated(fmt::format("one lease: {} and {}", termByVm.begin()->first, termByVm.rbegin()->first));
    }
}

void GroupOracle::acknowledged(std::uint64_t index, std::uint64_t term, bool needsDisk, bool onSyncedDisk)
{
    this->highestAcknowledgedIndex = std::max(this->highestAcknowledgedIndex, index);
    const auto found = this->log.find(index);
    if (found == this->log.end() || found->second.term != term) {
        this->violated(fmt::format("truthful answers: {} of term {} was not committed", index, term));
    }
    if (needsDisk) {
        this->syncedTerms[index] = term;
    }
    if (needsDisk && !onSyncedDisk) {
        this->violated(fmt::format("synced disk: {} was acknowledged and is on none", index));
    }
}

void GroupOracle::checkSynced()
{
    for (const auto &[index, term] : this->syncedTerms) {
        if (const auto found = this->log.find(index); found == this->log.end() || found->second.term != term) {
            this->violated(fmt::format("nothing synced lost: {} of term {}", index, term));
        }
    }
}

void GroupOracle::readAnswered(const std::string &vm, std::uint64_t index, std::uint64_t acknowledgedBefore)
{
    if (index < acknowledgedBefore && !this->disastersHappen) {
        this->violated(fmt::format("linearizable reads: {} read {} after {} was acknowledged", vm, index, acknowledgedBefore));
    }
}

} // namespace cranberryreel::replication
