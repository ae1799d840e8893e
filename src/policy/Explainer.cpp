#include "policy/Explainer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t MaxPlacesListed = 3;
constexpr std::array<const char *, Demand::Dimensions> DimensionNames{"CPU", "memory", "accelerators", "upstream slots"};

std::string sizeText(const model::Resources &size)
{
    return fmt::format("{} thousandths of a core, {} MiB of memory and {} accelerators", size.cpuMillis, size.memoryMiB, size.accelerators);
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
        return fmt::format("Cancelled; {} tasks have not stopped yet.", job.active);
    }
    if (job.waiting == 0) {
        return this->describePlacement(job);
    }
    if (job.active == 0) {
        return this->describeWait(index, now);
    }
    return fmt::format("{} {} more tasks wait. {}", this->describePlacement(job), job.waiting, this->describeWait(index, now));
}

std::string Explainer::describePlacement(const JobEntry &job) const
{
    std::string places;
    std::size_t listed = 0;
    for (std::size_t i = 0; i < job.tasks.size() && listed < MaxPlacesListed; ++i) {
        if (const TaskEntry &task = job.tasks[i]; task.isActive()) {
            const LedgerVm &vm = this->zone.ledger.vm(task.vm);
            places += fmt::format("{}task {} on {} (VM {})", listed == 0 ? "" : ", ", i, this->zone.ledger.upstream(task.upstream).id, vm.name);
            ++listed;
        }
    }
    const std::size_t more = job.active - std::min<std::size_t>(job.active, listed);
    return fmt::format("Runs {}{}; each task reserves {}.", places, more > 0 ? fmt::format(" and {} more", more) : "", sizeText(job.need));
}

std::string Explainer::describeWait(JobIndex index, base::SteadyTime now) const
{
    const JobEntry &job = this->zone.jobs.at(index);
    const bool isWholeGang = job.kind == model::JobKind::Gang && job.active == 0;
    const std::int64_t tasksAtOnce = isWholeGang ? job.waiting : 1;
    if (const PartnerIndex limit = this->zone.shares.findExceededQuota(job.partner, taskDemand(job.need).multipliedBy(tasksAtOnce).resources);
        limit != NoIndex) {
        return fmt::format("Waits for the quota of {}, which is used up and does not allow borrowing.", this->zone.shares.at(limit).name);
    }
    if (this->gangReserver.reservedJob() == index) {
        const auto wait =
            std::chrono::duration_cast<std::chrono::seconds>(std::max(this->gangReserver.expectedStart() - now, base::SteadyTime::duration::zero()));
        return fmt::format("Has {} VMs reserved until all of its {} waiting tasks fit; expected to start in {} s.",
                           this->gangReserver.reservedVmCount(),
                           tasksAtOnce,
                           wait.count());
    }
    if (isWholeGang && this->gangReserver.reservedJob() != NoIndex) {
        return fmt::format(
            "Waits for capacity for its {} tasks at once; {} has the reservation first.", tasksAtOnce, this->zone.jobs.at(this->gangReserver.reservedJob()).id);
    }
    if (job.reservedVm != NoIndex) {
        return fmt::format("Waits for batch tasks on {} to checkpoint and stop; they are preempted for it.", this->zone.ledger.vm(job.reservedVm).name);
    }
    if (const auto required = static_cast<std::uint64_t>(tasksAtOnce); this->zone.ledger.countFittingEmpty(job.service, job.need, required) < required) {
        return fmt::format("Waits for upstreams on more or larger VMs: those that serve it now cannot hold {} ({} per task), even when empty.",
                           isWholeGang ? fmt::format("its {} tasks at once", tasksAtOnce) : "a task",
                           sizeText(job.need));
    }
    if (isWholeGang) {
        return fmt::format("Waits for capacity for its {} tasks at once. {}", tasksAtOnce, this->describeMissingCapacity(job));
    }
    return this->describeMissingCapacity(job);
}

std::string Explainer::describeMissingCapacity(const JobEntry &job) const
{
    const Ledger &ledger = this->zone.ledger;
    std::size_t serving = 0;
    std::size_t fitting = 0;
    std::size_t reservedVms = 0;
    std::array<std::size_t, Demand::Dimensions> lacking{};
    for (VmIndex index = 0; index < ledger.vmCount(); ++index) {
        const LedgerVm &vm = ledger.vm(index);
        std::int64_t slots = 0;
        bool isServing = false;
        for (const UpstreamIndex upstream : vm.upstreams) {
            const LedgerUpstream &entry = ledger.upstream(upstream);
            isServing = isServing || serves(entry, job.service);
            slots += serves(entry, job.service) && entry.hasFreeSlot() ? 1 : 0;
        }
        if (!vm.registered || vm.draining || !isServing) {
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
        fitting += fits && vm.reservedFor == NoIndex ? 1 : 0;
        reservedVms += fits && vm.reservedFor != NoIndex ? 1 : 0;
    }
    if (serving == 0) {
        return "Waits because no upstream that can run it accepts work now.";
    }
    if (fitting > 0) {
        return this->describeServingOrder(job);
    }
    if (reservedVms > 0) {
        const JobIndex reservedJob = this->gangReserver.reservedJob();
        return fmt::format("Waits because the {} VMs with free capacity are reserved for {}.",
                           reservedVms,
                           reservedJob == NoIndex ? "other work" : this->zone.jobs.at(reservedJob).id);
    }
    const auto scarcest = static_cast<std::size_t>(std::max_element(lacking.begin(), lacking.end()) - lacking.begin());
    return fmt::format(
        "Waits for capacity: none of {} VMs has {} free; {} of them lack {}.", serving, sizeText(job.need), lacking[scarcest], DimensionNames[scarcest]);
}

std::string Explainer::describeServingOrder(const JobEntry &job) const
{
    const FairShares::Partner &ownPartner = this->zone.shares.at(job.partner);
    const double ownShare = this->zone.shares.usedShare(job.partner);
    std::string firstPartner;
    for (PartnerIndex i = 0; i < this->zone.shares.size(); ++i) {
        const FairShares::Partner &other = this->zone.shares.at(i);
        const bool isServedFirst = this->zone.shares.usedShare(i) * ownPartner.effectiveWeight < ownShare * other.effectiveWeight;
        if (i != job.partner && other.waitingDemand.slots > 0 && isServedFirst) {
            firstPartner = other.name;
            break;
        }
    }
    const std::string shareText =
        fmt::format("{} uses {:.1f}% of the zone, its fair share is {:.1f}%", ownPartner.name, 100 * ownShare, 100 * ownPartner.fairShare);
    if (firstPartner.empty()) {
        return fmt::format("Waits for its turn: {}; free capacity is kept for requests or goes to its own earlier work.", shareText);
    }
    return fmt::format("Waits for its turn: {}, and {} is served first.", shareText, firstPartner);
}

} // namespace cranberryreel::policy
