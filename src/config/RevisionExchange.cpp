#include "config/RevisionExchange.h"

namespace cranberryreel::config
{

RevisionTexts activeTexts(const ActiveConfiguration &active)
{
    const auto current = active.current();
    return {current->revision, current->registerText, current->rulesText};
}

RevisionExchange::RevisionExchange(const ConfigServiceOptions &serviceOptions, ConfigPeers &configPeers, ActiveConfiguration &configuration)
    : options(serviceOptions)
    , peers(configPeers)
    , active(configuration)
{
}

void RevisionExchange::runRound()
{
    this->announceToNext(this->options.groupMembers, this->nextMemberIndex);
    this->announceToNext(this->options.zonePeers, this->nextZoneIndex);
    this->fetchHighest();
}

void RevisionExchange::announceToNext(const std::vector<std::string> &vms, std::size_t &nextIndex)
{
    for (std::size_t tried = 0; tried < vms.size(); tried++) {
        const std::string &vm = vms[nextIndex++ % vms.size()];
        if (vm != this->options.vm && this->peers.isUp(vm)) {
            this->peers.announce(vm, this->active.revision());
            return;
        }
    }
}

void RevisionExchange::announceToAll()
{
    for (const std::string &vm : this->options.vms) {
        if (vm != this->options.vm) {
            this->peers.announce(vm, this->active.revision());
        }
    }
}

void RevisionExchange::onAnnouncement(const std::string &fromVm, std::uint64_t revision)
{
    this->lastSeen[fromVm] = revision;
    if (const std::uint64_t own = this->active.revision(); revision > own) {
        this->fetchFrom(fromVm);
    } else if (revision < own) {
        this->peers.announce(fromVm, own);
    }
}

void RevisionExchange::fetchFrom(const std::string &vm)
{
    if (this->fetching) {
        return;
    }
    this->fetching = true;
    this->peers.fetch(vm, activeTexts(this->active), false, this->options.timings.callLimit, [this](const FetchReply &reply) {
        this->fetching = false;
        if (this->applyFetched(reply)) {
            this->fetchHighest();
        }
    });
}

void RevisionExchange::fetchHighest()
{
    const std::string *best = nullptr;
    std::uint64_t highest = this->active.revision();
    for (const auto &[vm, revision] : this->lastSeen) {
        if (revision > highest && this->peers.isUp(vm)) {
            best = &vm;
            highest = revision;
        }
    }
    if (best != nullptr) {
        this->fetchFrom(*best);
    }
}

bool RevisionExchange::applyFetched(const FetchReply &reply)
{
    if (reply.code != base::ResultCode::Ok) {
        return false;
    }
    if (reply.texts) {
        this->active.activate(*reply.texts);
    }
    return this->active.revision() >= reply.revision;
}

const std::map<std::string, std::uint64_t> &RevisionExchange::lastSeenRevisions() const
{
    return this->lastSeen;
}

} // namespace cranberryreel::config
