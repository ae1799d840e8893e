#include "policy/ClassPolicy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t TightCandidates = 8;
constexpr std::size_t TightPerCell = 2;
constexpr std::size_t SpreadCandidates = 64;
constexpr std::size_t SpreadPerCell = 16;
constexpr double ImbalanceWeight = 0.5; ///< Of leaving one dimension over where the other runs out.
constexpr double SameRackPenalty = 100.0;
constexpr double SameVmPenalty = 10.0;

double part(std::int64_t amount, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0;
}

/// What stays free on the VM after the placement, with a penalty where it is out of balance.
double leftover(const Ledger &ledger, VmIndex index, const model::Resources &need)
{
    const LedgerVm &vm = ledger.vm(index);
    const model::Resources left = vm.free() - need;
    const double cpu = part(left.cpuMillis, vm.capacity.cpuMillis);
    const double memory = part(left.memoryMiB, vm.capacity.memoryMiB);
    const double accelerators = part(left.accelerators, vm.capacity.accelerators);
    return cpu + memory + accelerators + ImbalanceWeight * std::abs(cpu - memory);
}

class RequestPolicy : public ClassPolicy
{
public:
    double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const override
    {
        return leftover(ledger, vm, job.need);
    }

    SearchBreadth breadth() const override
    {
        return {TightCandidates, TightPerCell, false};
    }

    bool isUrgent() const override
    {
        return true;
    }

    bool isPreemptible() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return true;
    }
};

class ServicePolicy : public ClassPolicy
{
public:
    double score(const Ledger &ledger, VmIndex vm, const JobEntry &job) const override
    {
        const auto rack = job.tasksByRack.find(ledger.vm(vm).rack);
        const auto sameVm = job.tasksByVm.find(vm);
        const double penalty =
            (rack == job.tasksByRack.end() ? 0 : SameRackPenalty * rack->second) + (sameVm == job.tasksByVm.end() ? 0 : SameVmPenalty * sameVm->second);
        return penalty + leftover(ledger, vm, job.need);
    }

    SearchBreadth breadth() const override
    {
        return {SpreadCandidates, SpreadPerCell, true};
    }

    bool isUrgent() const override
    {
        return true;
    }

    bool isPreemptible() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return false;
    }
};

class BatchPolicy : public RequestPolicy
{
public:
    bool isUrgent() const override
    {
        return false;
    }

    bool isPreemptible() const override
    {
        return true;
    }
};

class GangPolicy : public RequestPolicy
{
public:
    bool isUrgent() const override
    {
        return false;
    }

    bool mayBackfill() const override
    {
        return false;
    }
};

} // namespace

const ClassPolicy &ClassPolicy::of(model::JobKind kind)
{
    static const RequestPolicy request;
    static const ServicePolicy service;
    static const BatchPolicy batch;
    static const GangPolicy gang;
    static const std::array<const ClassPolicy *, 4> policies{&request, &service, &batch, &gang};
    return *policies[static_cast<std::size_t>(kind)];
}

} // namespace cranberryreel::policy
