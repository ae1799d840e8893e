#include "soak/Soak.h"

#include "soak/LeaderFinder.h"
#include "support/Eventually.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds WatchInterval{10};

std::chrono::steady_clock::time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Soak::Soak(SoakKind soakKind, std::uint64_t randomSeed)
    : kind(soakKind)
    , seed(randomSeed)
    , plan(randomSeed)
    , restartPlan(randomSeed)
    , cell(soakKind == SoakKind::Restarts ? this->restartPlan.layout() : this->plan.layout())
    , vms(this->cell, this->report)
    , traffic(this->cell, this->report, randomSeed)
    , upstreams(this->cell, this->report, randomSeed)
    , gangs(this->cell, this->report, this->upstreams.gangWork(), randomSeed)
{
}

bool Soak::run(std::chrono::seconds time)
{
    const bool restarts = this->kind == SoakKind::Restarts;
    const support::PlatformCellOptions &layout = restarts ? this->restartPlan.layout() : this->plan.layout();
    this->report.note(
        fmt::format("seed={} restarts={} disks={} entries={} tolerate={}", this->seed, restarts, layout.diskVms, layout.entryVms, layout.tolerate));
    const SteadyTime end = now() + time;
    this->traffic.start();
    this->checkServes();
    this->upstreams.start(restarts ? this->restartPlan.upstreamCount() : UpstreamCount);
    this->gangs.start();
    if (restarts) {
        this->awaitLastingTasks(now(), RestartLimit);
    } else {
        this->runLoss(this->plan.nextLoss());
    }
    while (now() < end && !this->report.failed()) {
        this->runFaults();
    }
    if (!this->report.failed()) {
        this->gangs.checkEnds();
        this->traffic.checkJobs();
        this->vms.stopAll();
    }
    this->gangs.stop();
    this->upstreams.stop();
    this->traffic.stop();
    const ServedCounts counts = this->traffic.counts();
    this->report.note(fmt::format("seed={} result={} configurations={} reads={} jobs={} gangs={} of_them_failed={}{}",
                                  this->seed,
                                  this->report.failed() ? "FAILED" : "clean",
                                  counts.acknowledged,
                                  counts.readBack,
                                  counts.acceptedJobs,
                                  this->gangs.endedCount(),
                                  this->gangs.failedCount(),
                                  this->report.failed() ? " logs=" + this->cell.keepFolder() : ""));
    return !this->report.failed();
}

void Soak::runFaults()
{
    if (this->kind == SoakKind::Restarts) {
        this->runSeries(this->restartPlan.nextSeries());
    } else {
        this->runRound(this->plan.nextRound());
        this->runLoss(this->plan.nextLoss());
    }
}

void Soak::runRound(const SoakRound &round)
{
    const SteadyTime start = now();
    for (const SoakStep &step : round.steps) {
        this->wait(start + step.time);
        if (this->report.failed()) {
            return;
        }
        this->apply(step);
    }
    this->wait(start + round.closing);
    this->close(round);
    this->checkServes();
    this->wait(now() + CatchUpTime);
}

/// Ends an upstream while nothing else disturbs the cell.
void Soak::runLoss(const std::vector<SoakStep> &steps)
{
    this->awaitLastingTasks(now(), RestartLimit);
    const SteadyTime start = now();
    for (const SoakStep &step : steps) {
        this->wait(start + step.time);
        if (this->report.failed()) {
            return;
        }
        this->apply(step);
    }
    this->awaitLastingTasks(start, RestartLimit);
    this->upstreams.addUpstream();
}

/// Restarts upstreams and cuts some of them off. While they are cut off nothing else disturbs the cell after the last other step.
void Soak::runSeries(const std::vector<SoakStep> &steps)
{
    this->upstreams.setDelays(true);
    const SteadyTime start = now();
    auto isRejoin = [](const SoakStep &step) { return step.action == Action::RejoinUpstream; };
    const auto calm = std::find_if_not(steps.rbegin(), steps.rend(), isRejoin).base();
    for (auto step = steps.begin(); step != steps.end() && !this->report.failed(); ++step) {
        if (step == calm) {
            this->upstreams.setDelays(false);
        }
        const SteadyTime due = start + step->time;
        while (now() < due && !this->report.failed()) {
            this->wait(std::min(now() + WatchInterval, due));
            if (step >= calm) {
                this->checkLastingTasks(std::max(start + std::prev(calm)->time, this->upstreams.lastCut()), LimitAfterRestart);
            }
        }
        this->apply(*step);
    }
    this->upstreams.setDelays(false);
    this->awaitLastingTasks(std::max(start + std::prev(calm)->time, this->upstreams.lastCut()), LimitAfterRestart);
    this->checkServes();
}

void Soak::awaitLastingTasks(SteadyTime calmSince, std::chrono::milliseconds limit)
{
    const SteadyTime start = now();
    while (!this->report.failed() && !this->upstreams.lastingRuns().allRun()) {
        this->wait(now() + WatchInterval);
        this->checkLastingTasks(calmSince, limit);
    }
    if (this->diskProbe.lastStall() >= start) {
        this->report.note("the machine's disk stalled meanwhile");
    }
    if (!this->report.failed()) {
        this->report.note(fmt::format("lasting tasks run after {} ms", std::chrono::duration_cast<std::chrono::milliseconds>(now() - start).count()));
    }
}

void Soak::checkLastingTasks(SteadyTime calmSince, std::chrono::milliseconds limit)
{
    for (const std::string &task : this->upstreams.lastingRuns().overdue(std::max(calmSince, this->diskProbe.lastStall()), limit)) {
        this->report.addViolation(fmt::format("the lasting task {} does not run again within {} ms", task, limit.count()));
    }
}

void Soak::apply(const SoakStep &step)
{
    const std::string target = this->target(step);
    this->report.note(fmt::format("{} {}", nameOf(step.action), target));
    if (SoakUpstreams::handles(step.action)) {
        this->upstreams.apply(step.action, target);
    } else {
        this->vms.apply(step.action, target);
    }
    if (step.action == Action::Succeed) {
        this->traffic.setControlVms(this->cell.diskVms());
        this->upstreams.setControlVms(this->cell.diskVms());
    }
}

/// Injects the closing fault right after an acknowledgement, and starts all VMs again.
void Soak::close(const SoakRound &round)
{
    const int before = this->traffic.counts().acknowledged;
    support::eventually([this, before] { return this->traffic.counts().acknowledged > before; }, 2s);
    if (round.powerLoss) {
        this->vms.apply(Action::PowerLoss, {});
    }
    std::string lost;
    for (const std::size_t place : round.disksLost) {
        const std::string &vm = this->cell.diskVms()[place];
        this->vms.apply(Action::Wipe, vm);
        lost += " " + vm;
    }
    this->report.note(fmt::format("closing power_loss={} disks_lost={}", round.powerLoss, lost));
    this->wait(now() + round.downTime);
    this->vms.startAll();
    this->report.note("all are back");
}

void Soak::checkServes()
{
    const ServedCounts before = this->traffic.counts();
    ServedCounts current = before;
    const SteadyTime limit = now() + RecoveryTime;
    const auto served = [&] {
        return current.acknowledged > before.acknowledged && current.readBack > before.readBack && current.acceptedJobs > before.acceptedJobs;
    };
    while (!served() && now() < limit) {
        this->wait(now() + WatchInterval);
        current = this->traffic.counts();
    }
    if (!served()) {
        this->report.addViolation(fmt::format("not served within {} s: configurations {} reads {} jobs {}",
                                              RecoveryTime.count(),
                                              current.acknowledged - before.acknowledged,
                                              current.readBack - before.readBack,
                                              current.acceptedJobs - before.acceptedJobs));
    }
}

void Soak::wait(SteadyTime until)
{
    do {
        this->vms.watch();
        std::this_thread::sleep_for(std::min<SteadyTime::duration>(WatchInterval, std::max<SteadyTime::duration>(until - now(), 0ms)));
    } while (now() < until);
}

std::string Soak::target(const SoakStep &step)
{
    if (step.action == Action::PowerLoss || step.action == Action::PowerBack) {
        return "all disks";
    }
    if (SoakUpstreams::handles(step.action)) {
        return this->upstreams.target(step);
    }
    if (step.onLeader) {
        const bool begins = step.action == Action::Kill || step.action == Action::Freeze || step.action == Action::Terminate;
        this->leader = begins ? findLeader(this->cell) : this->leader;
        return this->leader;
    }
    return step.onEntry ? this->cell.entryVms()[step.place] : this->cell.diskVms()[step.place];
}

} // namespace cranberryreel::soak
