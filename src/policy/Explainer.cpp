#include "policy/Explainer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t PlacesNamed = 3;
constexpr std::array<const char *, Demand::Dimensions> DimensionNames{"processors", "memory", "accelerators", "upstream slots"};

std::string sizeText(const model::Resources &size)
{
    return fmt::format("{} thousandths of a processor, {} MiB and {} accelerators", size.cpuMillis, size.memoryMiB, size.accelerators);
}

bool serves(const LedgerUpstream &upstream, ServiceIndex service)
{
    return upstream.accepting && (service == Ledger::AnyService || upstream.service == service);
}

} // namespace

std::string Explainer::explain(JobIndex index, base::SteadyTime now) const
{
    const JobEntry &job = this->zone.jobs.at(index);
    if (job.cancelled) {
        return fmt::format("Cancelled; {} tasks still have to stop.", job.active);
    }
    if (job.waiting == 0) {
        return this->whereItRuns(job);
    }
    if (job.active == 0) {
        return this->whyItWaits(index, now);
    }
    return fmt::format("{} {} tasks wait: {}", this->whereItRuns(job), job.waiting, this->whyItWaits(index, now));
}

std::string Explainer::whereItRuns(const JobEntry &job) const
{
    std::string places;
    std::size_t named = 0;
    for (std::size_t i = 0; i < job.tasks.size() && named < PlacesNamed; ++i) {
        if (const TaskEntry &task = job.tasks[i]; task.isActive()) {
            const LedgerVm &vm = this->zone.ledger.vm(task.vm);
            places += fmt::format("{}task {} on {} (VM {})", named == 0 ? "" : ", ", i, this->zone.ledger.upstream(task.upstream).id, vm.name);
            ++named;
        }
    }
    const std::size_t more = job.active - std::min<std::size_t>(job.active, named);
    return fmt::format("Runs {}{}; each holds {}.", places, more > 0 ? fmt::format(" and {} more", more) : "", sizeText(job.need));
}

std::string Explainer::whyItWaits(JobIndex index, base::SteadyTime now) const
{
    const JobEntry &job = this->zone.jobs.at(index);
    const bool whole = job.kind == model::JobKind::Gang && job.active == 0;
    const std::int64_t together = whole ? job.waiting : 1;
    if (const PartnerIndex limit = this->zone.shares.hardLimit(job.partner, taskDemand(job.need).times(together).resources); limit != NoIndex) {
        return fmt::format("Waits for the quota of {}, which is used up and may not be borrowed beyond.", this->zone.shares.at(limit).name);
    }
    if (this->gangs.holder() == index) {
        const auto wait = std::chrono::duration_cast<std::chrono::seconds>(std::max(this->gangs.neededAt() - now, base::SteadyTime::duration::zero()));
        return fmt::format("Holds {} VMs until all of its {} waiting tasks have room; expected in {} s.", this->gangs.heldVms(), together, wait.count());
    }
    if (whole && this->gangs.holder() != NoIndex) {
        return fmt::format(
            "Waits for room for its {} tasks at once; {} holds the reservation before it.", together, this->zone.jobs.at(this->gangs.holder()).id);
    }
    if (job.heldVm != NoIndex) {
        return fmt::format("Waits for batch tasks on {} to checkpoint and stop in its favour.", this->zone.ledger.vm(job.heldVm).name);
    }
    if (const auto most = static_cast<std::uint64_t>(together); this->zone.ledger.everHolds(job.service, job.need, most) < most) {
        return fmt::format("Waits for upstreams on more or larger VMs: those that serve it now could not hold {} at {} each, even empty.",
                           whole ? fmt::format("its {} tasks at once", together) : "a task",
                           sizeText(job.need));
    }
    if (whole) {
        return fmt::format("Waits for room for its {} tasks at once. {}", together, this->whyNoRoom(job));
    }
    return this->whyNoRoom(job);
}

std::string Explainer::whyNoRoom(const JobEntry &job) const
{
    const Ledger &ledger = this->zone.ledger;
    std::size_t serving = 0;
    std::size_t roomy = 0;
    std::size_t held = 0;
    std::array<std::size_t, Demand::Dimensions> lacking{};
    for (VmIndex index = 0; index < ledger.vmCount(); ++index) {
        const LedgerVm &vm = ledger.vm(index);
        std::int64_t slots = 0;
        bool offers = false;
        for (const UpstreamIndex upstream : vm.upstreams) {
            const LedgerUpstream &entry = ledger.upstream(upstream);
            offers = offers || serves(entry, job.service);
            slots += serves(entry, job.service) && entry.hasRoom() ? 1 : 0;
        }
        if (!vm.known || vm.draining || !offers) {
            continue;
        }
        ++serving;
        const auto need = taskDemand(job.need).values();
        const auto free = Demand{vm.free(), slots}.values();
        bool fits = true;
        for (std::size_t i = 0; i < Demand::Dimensions; ++i) {
            lacking[i] += need[i] > free[i] ? 1 : 0;
            fits = fits && need[i] <= free[i];
        }
        roomy += fits && vm.heldBy == NoIndex ? 1 : 0;
        held += fits && vm.heldBy != NoIndex ? 1 : 0;
    }
    if (serving == 0) {
        return "Waits because no upstream that may run it takes work now.";
    }
    if (roomy > 0) {
        return this->whoComesFirst(job);
    }
    if (held > 0) {
        const JobIndex holder = this->gangs.holder();
        return fmt::format("Waits because the {} VMs with room are held for {}.", held, holder == NoIndex ? "other work" : this->zone.jobs.at(holder).id);
    }
    const auto worst = static_cast<std::size_t>(std::max_element(lacking.begin(), lacking.end()) - lacking.begin());
    return fmt::format("Waits for room: none of {} VMs has {} free; {} of them lack {}.", serving, sizeText(job.need), lacking[worst], DimensionNames[worst]);
}

std::string Explainer::whoComesFirst(const JobEntry &job) const
{
    const FairShares::Partner &own = this->zone.shares.at(job.partner);
    const double ownShare = this->zone.shares.usedShare(job.partner);
    std::string first;
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        const FairShares::Partner &other = this->zone.shares.at(i);
        const bool isBefore = this->zone.shares.usedShare(i) * own.effectiveWeight < ownShare * other.effectiveWeight;
        if (i != job.partner && other.waitingDemand.slots > 0 && isBefore) {
            first = other.name;
            break;
        }
    }
    const std::string holds = fmt::format("{} holds {:.1f}% of the zone with {:.1f}% due", own.name, 100 * ownShare, 100 * own.due);
    if (first.empty()) {
        return fmt::format("Waits for its turn: {}; room that is free now is kept for requests or goes to its own earlier work.", holds);
    }
    return fmt::format("Waits for its turn: {}, and {} comes first.", holds, first);
}

} // namespace cranberryreel::policy
