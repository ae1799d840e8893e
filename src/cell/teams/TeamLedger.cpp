#include "cell/teams/TeamLedger.h"

#include "cell/planning/UpstreamCapacity.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberryreel::cell::teams
{

namespace
{

using planning::Capacity;
using planning::ReadyStep;

/// What a limit leaves; any amount where there is no limit. Limits beyond what fits are none in effect.
std::int64_t remaining(std::int64_t limit, std::int64_t used)
{
    return limit == 0 ? std::numeric_limits<std::int64_t>::max() : limit - used;
}

Capacity remaining(const Capacity &limit, const Capacity &used)
{
    return {remaining(limit.cpuMillis, used.cpuMillis), remaining(limit.memoryMib, used.memoryMib), remaining(limit.accelerators, used.accelerators)};
}

Capacity sumOf(const Capacity &left, const Capacity &right)
{
    return {left.cpuMillis + right.cpuMillis, left.memoryMib + right.memoryMib, left.accelerators + right.accelerators};
}

std::int64_t toLimit(std::uint64_t configured)
{
    return static_cast<std::int64_t>(std::min<std::uint64_t>(configured, std::numeric_limits<std::int64_t>::max() / 2));
}

std::uint32_t countFitting(const Capacity &left, const ReadyStep &ready, std::uint32_t tasks)
{
    const auto whole = static_cast<std::uint32_t>(ready.waiting.size());
    if (ready.step->gang) {
        return left.countFitting(*ready.step, whole) == whole ? tasks : 0;
    }
    return left.countFitting(*ready.step, tasks);
}

} // namespace

TeamLedger::TeamLedger(const CellState &cellState)
    : state(cellState)
{
    const wire::RulesT *rules = this->state.rules();
    if (rules == nullptr || rules->teams.empty()) {
        return;
    }
    double weights = 0;
    for (const auto &team : rules->teams) {
        weights += team->weight;
    }
    const double meanWeight = weights / static_cast<double>(rules->teams.size());
    this->addAccount({}, meanWeight);
    for (const auto &team : rules->teams) {
        this->accounts[this->addAccount(team->name, team->weight)].use.limit = {
            toLimit(team->cpu_millis), toLimit(team->memory_mib), toLimit(team->accelerators)};
    }
    for (const std::uint64_t number : this->state.openJobs()) {
        this->addAccount(this->state.job(number)->spec->team, meanWeight);
    }
    for (const auto &[number, upstream] : this->state.upstreams()) {
        this->cellTotal = sumOf(this->cellTotal, Capacity::totalOf(upstream));
    }
    this->addRuns();
}

void TeamLedger::addRuns()
{
    const wire::JobT *lastJob = nullptr;
    Account *account = nullptr;
    planning::forEachRun(this->state, [&](const wire::RunT &, const wire::StepT &step, const wire::JobT &job, const TaskKey &) {
        if (std::exchange(lastJob, &job) != &job) {
            account = &this->accounts[this->teamIndexOf(job.spec->team)];
        }
        account->use.running.release(step);
        if (step.lasting) {
            account->lasting.release(step);
        }
    });
}

/// Returns the index of the account, which is added unless there is one.
std::size_t TeamLedger::addAccount(const std::string &name, double weight)
{
    const auto [found, isNew] = this->indices.try_emplace(name, this->accounts.size());
    if (isNew) {
        this->accounts.emplace_back();
        this->accounts.back().use.name = name;
        this->accounts.back().use.weight = weight;
    }
    return found->second;
}

std::size_t TeamLedger::teamIndexOf(const std::string &team) const
{
    const auto found = this->indices.find(team);
    return found == this->indices.end() ? 0 : found->second;
}

std::size_t TeamLedger::teamIndexOf(const ReadyStep &ready) const
{
    return this->teamIndexOf(ready.job->spec->team);
}

const TeamLedger::Account &TeamLedger::accountOf(const ReadyStep &ready) const
{
    return this->accounts[this->teamIndexOf(ready)];
}

TeamLedger::Account &TeamLedger::accountOf(const ReadyStep &ready)
{
    return this->accounts[this->teamIndexOf(ready)];
}

std::uint32_t TeamLedger::fitting(const ReadyStep &ready, std::uint32_t tasks) const
{
    if (!this->hasTeams()) {
        return tasks;
    }
    const Account &account = this->accountOf(ready);
    return account.holdsBack ? 0 : countFitting(remaining(account.use.limit, sumOf(account.use.running, account.reserved)), ready, tasks);
}

std::uint32_t TeamLedger::requestable(const ReadyStep &ready, std::uint32_t tasks) const
{
    if (!this->hasTeams()) {
        return tasks;
    }
    const Account &account = this->accountOf(ready);
    const Capacity used = sumOf(sumOf(account.use.running, account.reserved), account.requested);
    return account.holdsBack ? 0 : countFitting(remaining(account.use.limit, used), ready, tasks);
}

void TeamLedger::recordStart(const ReadyStep &ready)
{
    if (this->hasTeams()) {
        this->accountOf(ready).use.running.release(*ready.step);
    }
}

void TeamLedger::undoStart(const ReadyStep &ready)
{
    if (this->hasTeams()) {
        this->accountOf(ready).use.running.allocate(*ready.step);
    }
}

void TeamLedger::recordRequest(const ReadyStep &ready, std::uint32_t tasks)
{
    if (this->hasTeams()) {
        this->accountOf(ready).requested.release(*ready.step, tasks);
    }
}

void TeamLedger::recordWaitForQuota(const ReadyStep &ready)
{
    if (!this->hasTeams() || !(ready.step->gang || ready.overdue)) {
        return;
    }
    Account &account = this->accountOf(ready);
    account.holdsBack = account.holdsBack || countFitting(remaining(account.use.limit, account.lasting), ready, 1) > 0;
}

void TeamLedger::setAside(const ReadyStep &gang)
{
    if (this->hasTeams()) {
        this->accountOf(gang).reserved.release(*gang.step, static_cast<std::uint32_t>(gang.waiting.size()));
    }
}

std::vector<TeamUse> TeamLedger::uses() const
{
    std::vector<TeamUse> uses;
    uses.reserve(this->accounts.size());
    for (const Account &account : this->accounts) {
        uses.push_back(account.use);
    }
    return uses;
}

} // namespace cranberryreel::cell::teams
