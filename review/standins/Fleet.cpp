#include "Fleet.h"

#include <algorithm>
#include <stdexcept>

namespace cranberryreel::review
{

namespace
{

constexpr int Others = 19; ///< One of 20 stays below the smallest share that the site file gives for a crash (0.055) or a leave (0.065).
constexpr std::int64_t OthersCpu = 16000;
constexpr const char *Service = "s";

/// The control addresses, that of `first` before the others.
std::vector<std::string> controlsFrom(const Cell &cell, const std::string &first)
{
    std::vector<std::string> vms = cell.diskVms();
    std::stable_partition(vms.begin(), vms.end(), [&first](const std::string &vm) { return vm == first; });
    std::vector<std::string> controls;
    controls.reserve(vms.size());
    for (const std::string &vm : vms) {
        controls.push_back(cell.control(vm));
    }
    return controls;
}

} // namespace

Fleet::Fleet(Cell &cell, const std::string &ownVm, std::int64_t cpuMillis, TaskLog &tasks, Record &record)
{
    RunnerSpec spec{"i-own", cell.freeAddress(), cell.zoneOf(cell.diskVms().front()), Service};
    spec.cpuMillis = cpuMillis;
    spec.labels = {"b", "r1"};
    this->own = std::make_unique<Runner>(spec, tasks, record);
    this->own->setControls(controlsFrom(cell, ownVm));
    for (int i = 0; i < Others; ++i) {
        const std::string vm = cell.diskVms()[static_cast<std::size_t>(1 + i % 3)];
        RunnerSpec other{"i-other" + std::to_string(i), cell.freeAddress(), cell.zoneOf(vm), Service};
        other.cpuMillis = OthersCpu;
        other.labels = {"a", "r2"};
        this->others.push_back(std::make_unique<Runner>(other, tasks, record));
        this->others.back()->setControls(controlsFrom(cell, vm));
        this->others.back()->start();
    }
}

Runner &Fleet::runner()
{
    return *this->own;
}

void Fleet::stop()
{
    this->own->crash();
    for (const auto &other : this->others) {
        other->crash();
    }
}

std::string bystander(const Cell &cell)
{
    const std::vector<std::string> vms = cell.diskVms();
    const std::string leader = cell.leader();
    const auto found = std::find_if(vms.begin() + 1, vms.end(), [&leader](const std::string &vm) { return vm != leader; });
    if (leader.empty() || found == vms.end()) {
        throw std::runtime_error("no VM leads");
    }
    return *found;
}

} // namespace cranberryreel::review
