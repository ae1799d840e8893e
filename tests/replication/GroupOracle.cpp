#include "GroupOracle.h"

#include <fmt/format.h>

namespace cranberryreel::replication
{

void GroupOracle::violated(const std::string &rule)
{
    if (this->firstViolation.empty()) {
        this->firstViolation = rule;
    }
}

void GroupOracle::committed(const std::string &vm, const Entry &entry)
{
    const auto [item, isNew] = this->log.emplace(entry.index, entry);
    if (this->memoryLossAllowed) {
        item->second = entry;
    } else if (!isNew && (item->second.term != entry.term || item->second.data != entry.data)) {
        this->violated(fmt::format("one log: {} committed another entry at {} (term {}, earlier {})", vm, entry.index, entry.term, item->second.term));
    }
}

void GroupOracle::applied(const std::string &vm, std::uint64_t index, std::uint64_t stateHash)
{
    const auto [item, isNew] = this->stateHashes.emplace(index, stateHash);
    if (!isNew && item->second != stateHash && !this->memoryLossAllowed) {
        this->violated(fmt::format("one state: {} differs after {}", vm, index));
    }
}

void GroupOracle::leads(const std::string &vm, std::uint64_t term, std::uint64_t commitIndex)
{
    const auto [item, isNew] = this->leaders.emplace(term, vm);
    if (!isNew && item->second != vm) {
        this->violated(fmt::format("one leader per term: {} and {} in {}", vm, item->second, term));
    }
    if (isNew && !this->memoryLossAllowed && commitIndex < this->highestAcknowledgedIndex) {
        this->violated(fmt::format("nothing lost: {} leads term {} without acknowledged entry {}", vm, term, this->highestAcknowledgedIndex));
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
        this->violated(fmt::format("truthful answers: entry {} of term {} was acknowledged and is not committed", index, term));
    }
    if (needsDisk) {
        this->syncedTerms[index] = term;
    }
    if (needsDisk && !onSyncedDisk) {
        this->violated(fmt::format("synced disk: entry {} was acknowledged and is on no disk", index));
    }
}

void GroupOracle::checkSynced()
{
    for (const auto &[index, term] : this->syncedTerms) {
        if (const auto found = this->log.find(index); found == this->log.end() || found->second.term != term) {
            this->violated(fmt::format("nothing synced lost: entry {} of term {}", index, term));
        }
    }
}

void GroupOracle::readAnswered(const std::string &vm, std::uint64_t index, std::uint64_t acknowledgedBefore)
{
    if (index < acknowledgedBefore && !this->memoryLossAllowed) {
        this->violated(fmt::format("linearizable reads: {} read {} after {} was acknowledged", vm, index, acknowledgedBefore));
    }
}

} // namespace cranberryreel::replication
