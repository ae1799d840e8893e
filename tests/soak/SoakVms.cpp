#include "soak/SoakVms.h"

#include "soak/SoakPlan.h"
#include "support/Eventually.h"

#include <fmt/format.h>

#include <csignal>

namespace cranberryreel::soak
{

namespace
{

constexpr int KilledStatus = 128 + SIGKILL;

std::chrono::steady_clock::time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

SoakVms::SoakVms(support::PlatformCell &platformCell, SoakReport &soakReport)
    : cell(platformCell)
    , report(soakReport)
{
    for (const auto *group : {&this->cell.diskVms(), &this->cell.entryVms()}) {
        for (const std::string &vm : *group) {
            this->vms[vm] = {};
        }
    }
}

void SoakVms::apply(Action action, const std::string &vm)
{
    static const std::map<Action, void (SoakVms::*)(const std::string &)> faults = {{Action::Kill, &SoakVms::kill},
                                                                                    {Action::Start, &SoakVms::start},
                                                                                    {Action::Freeze, &SoakVms::freeze},
                                                                                    {Action::Thaw, &SoakVms::thaw},
                                                                                    {Action::Terminate, &SoakVms::terminate},
                                                                                    {Action::Reload, &SoakVms::reload},
                                                                                    {Action::FillDisk, &SoakVms::fillDisk},
                                                                                    {Action::FreeDisk, &SoakVms::freeDisk},
                                                                                    {Action::Wipe, &SoakVms::wipe},
                                                                                    {Action::Remove, &SoakVms::remove},
                                                                                    {Action::Succeed, &SoakVms::succeed},
                                                                                    {Action::PowerLoss, &SoakVms::cutPower},
                                                                                    {Action::PowerBack, &SoakVms::restorePower}};
    (this->*faults.at(action))(vm);
}

void SoakVms::startAll()
{
    for (auto &[vm, expected] : this->vms) {
        this->start(vm);
    }
    this->withoutPower.clear();
}

void SoakVms::stopAll()
{
    this->report.note("terminate all");
    for (auto &[vm, expected] : this->vms) {
        this->cell.signal(vm, SIGTERM);
    }
    const SteadyTime limit = now() + GraceTime;
    for (auto &[vm, expected] : this->vms) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(limit - now());
        if (!expected.removed && !support::eventually([&, &name = vm] { return !this->cell.running(name); }, left)) {
            this->report.addViolation(vm + " still runs after its grace time");
        }
    }
}

void SoakVms::watch()
{
    for (auto &[vm, expected] : this->vms) {
        if (expected.stopping) {
            this->watchStop(vm, expected);
        } else if (expected.up && !this->cell.running(vm)) {
            this->report.addViolation(fmt::format("{} ended by itself, status {}", vm, this->cell.exitStatus(vm).value_or(-1)));
            this->start(vm);
        }
    }
}

void SoakVms::watchStop(const std::string &vm, Expected &expected)
{
    if (expected.frozen) {
        expected.stopLimit = now() + GraceTime;
    }
    const bool running = this->cell.running(vm);
    if (running && now() < expected.stopLimit) {
        return;
    }
    if (running) {
        this->report.addViolation(vm + " still runs after its grace time");
    } else if (this->cell.exitStatus(vm).value_or(-1) != 0) {
        this->report.addViolation(fmt::format("{} ended with status {} after SIGTERM", vm, this->cell.exitStatus(vm).value_or(-1)));
    }
    expected.up = false;
    this->start(vm);
}

void SoakVms::kill(const std::string &vm)
{
    Expected &expected = this->vms[vm];
    this->cell.kill(vm);
    if (expected.up && !expected.stopping && this->cell.exitStatus(vm) != KilledStatus) {
        this->report.addViolation(fmt::format("{} ended by itself, status {}", vm, this->cell.exitStatus(vm).value_or(-1)));
    }
    expected.up = false;
    expected.stopping = false;
    expected.frozen = false;
}

void SoakVms::start(const std::string &vm)
{
    if (Expected &expected = this->vms[vm]; !expected.removed && (!expected.up || !this->cell.running(vm))) {
        this->cell.start(vm);
        expected = {};
    }
}

void SoakVms::terminate(const std::string &vm)
{
    if (Expected &expected = this->vms[vm]; expected.up) {
        expected.stopLimit = expected.stopping ? expected.stopLimit : now() + GraceTime;
        expected.stopping = true;
        this->cell.signal(vm, SIGTERM);
    }
}

void SoakVms::freeze(const std::string &vm)
{
    this->vms[vm].frozen = this->vms[vm].up;
    this->cell.signal(vm, SIGSTOP);
}

void SoakVms::thaw(const std::string &vm)
{
    this->vms[vm].frozen = false;
    this->cell.signal(vm, SIGCONT);
}

void SoakVms::reload(const std::string &vm)
{
    this->cell.signal(vm, SIGHUP);
}

void SoakVms::fillDisk(const std::string &vm)
{
    this->cell.setDiskFull(vm, true);
}

void SoakVms::freeDisk(const std::string &vm)
{
    this->cell.setDiskFull(vm, false);
}

void SoakVms::wipe(const std::string &vm)
{
    this->kill(vm);
    this->cell.wipe(vm);
}

void SoakVms::remove(const std::string &vm)
{
    this->kill(vm);
    this->vms[vm].removed = true;
}

void SoakVms::cutPower(const std::string & /*vm*/)
{
    for (const std::string &vm : this->cell.diskVms()) {
        this->cell.signal(vm, SIGKILL);
    }
    for (const std::string &vm : this->cell.diskVms()) {
        if (this->vms[vm].up) {
            this->withoutPower.push_back(vm);
        }
        this->kill(vm);
    }
}

void SoakVms::restorePower(const std::string & /*vm*/)
{
    for (const std::string &vm : this->withoutPower) {
        this->start(vm);
    }
    this->withoutPower.clear();
}

void SoakVms::succeed(const std::string &vm)
{
    const std::string successor = this->cell.replace(vm);
    this->vms[successor] = {};
    this->report.note("successor " + successor);
}

} // namespace cranberryreel::soak
