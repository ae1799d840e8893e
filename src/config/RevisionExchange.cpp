#include "config/RevisionExchange.h"

namespace cranberryreel::config
{

RevisionTexts textsInForce(const InForce &inForce)
{
    const auto current = inForce.current();
    return {current->revision, current->registerText, current->rulesText};
}

RevisionExchange::RevisionExchange(const ConfigServiceOptions &serviceOptions, ConfigPeers &configPeers, InForce &configuration)
    : options(serviceOptions)
    , peers(configPeers)
    , inForce(configuration)
{
}

void RevisionExchange::round()
{
    this->announceToNext(this->options.groupMembers, this->memberTurn);
    this->announceToNext(this->options.zonePeers, this->zoneTurn);
    this->fetchHighest();
}

void RevisionExchange::announceToNext(const std::vector<std::string> &vms, std::size_t &turn)
{
    for (std::size_t tried = 0; tried < vms.size(); tried++) {
        const std::string &vm = vms[turn++ % vms.size()];
        if (vm != this->options.vm && this->peers.isUp(vm)) {
            this->peers.announce(vm, this->inForce.revision());
            return;
        }
    }
}

void RevisionExchange::announceToAll()
{
    for (const std::string &vm : this->options.vms) {
        if (vm != this->options.vm) {
            this->peers.announce(vm, this->inForce.revision());
        }
    }
}

void RevisionExchange::heard(const std::string &fromVm, std::uint64_t revision)
{
    this->heardRevisions[fromVm] = revision;
    if (const std::uint64_t own = this->inForce.revision(); revision > own) {
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
    this->peers.fetch(vm, textsInForce(this->inForce), false, this->options.timings.callLimit, [this](const FetchReply &reply) {
        this->fetching = false;
        if (this->adopt(reply)) {
            this->fetchHighest();
        }
    });
}

void RevisionExchange::fetchHighest()
{
    const std::string *best = nullptr;
    std::uint64_t highest = this->inForce.revision();
    for (const auto &[vm, revision] : this->heardRevisions) {
        if (revision > highest && this->peers.isUp(vm)) {
            best = &vm;
            highest = revision;
        }
    }
    if (best != nullptr) {
        this->fetchFrom(*best);
    }
}

bool RevisionExchange::adopt(const FetchReply &reply)
{
    if (reply.code != base::ResultCode::Ok) {
        return false;
    }
    if (reply.texts) {
        this->inForce.moveTo(*reply.texts);
    }
    return this->inForce.revision() >= reply.revision;
}

const std::map<std::string, std::uint64_t> &RevisionExchange::lastHeard() const
{
    return this->heardRevisions;
}

} // namespace cranberryreel::config
