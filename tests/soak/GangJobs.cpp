#include "soak/GangJobs.h"

#include "soak/SoakPlan.h"
#include "support/Eventually.h"

#include <fmt/format.h>

#include <chrono>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds AskInterval{100};
constexpr std::size_t MaxOpen = 6;
constexpr std::size_t GangSize = 3;
/// One job in so many is a single task.
constexpr std::uint64_t SingleShare = 4;
constexpr long StatusTooMany = 429;
constexpr long StatusUnavailable = 503;

std::string stepOfJob(const std::string &job)
{
    return job + ".0.0";
}

} // namespace

GangJobs::GangJobs(support::PlatformCell &platformCell, SoakReport &soakReport, GangWork &gangWork, std::uint64_t seed)
    : cell(platformCell)
    , report(soakReport)
    , work(gangWork)
    , random(seed)
{
}

GangJobs::~GangJobs()
{
    this->stop();
}

void GangJobs::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void GangJobs::stop()
{
    this->stopped = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void GangJobs::checkEnds()
{
    this->submitting = false;
    support::eventually(
        [this] {
            const absl::MutexLock lock(&this->mutex);
            return this->open.empty();
        },
        GangEndLimit);
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[job, state] : this->open) {
        this->report.addViolation(fmt::format(
            "job {} has not ended within {} s: state '{}', {} failed runs", job, GangEndLimit.count(), state, this->work.failedRuns(stepOfJob(job))));
    }
}

std::size_t GangJobs::endedCount() const
{
    return this->ended;
}

std::size_t GangJobs::failedCount() const
{
    return this->failed;
}

void GangJobs::run()
{
    while (!this->stopped) {
        this->askForJobs();
        if (this->submitting) {
            this->submit();
        }
        std::this_thread::sleep_for(AskInterval);
    }
}

void GangJobs::submit()
{
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->open.size() >= MaxOpen) {
            return;
        }
    }
    const std::string job = fmt::format("{:016x}", this->random());
    const std::size_t members = this->random() % SingleShare == 0 ? 1 : GangSize;
    this->work.add(stepOfJob(job), members, this->random() % (MaxAttempts + 1));
    const std::string body =
        fmt::format(R"({{"Spec":"x","Steps":[{{"Count":{},"Cpu":500,"MemRequestMb":16,"EstimateMs":500{}}}]}})", members, members > 1 ? R"(,"Gang":true)" : "");
    // A call without a clear answer may have been accepted, so it is sent again.
    long status = 0;
    while (!this->stopped && status / 100 != 2 && status != StatusTooMany && status != StatusUnavailable) {
        status = this->cell.submitJob(this->anyEntryVm(), "/l/" + job, body);
    }
    if (status / 100 == 2) {
        const absl::MutexLock lock(&this->mutex);
        this->open[job] = "accepted";
    }
}

void GangJobs::askForJobs()
{
    static const std::map<std::string, Check> checks = {
        {"completed", &GangJobs::checkCompleted}, {"failed", &GangJobs::checkFailed}, {"cancelled", &GangJobs::checkCancelled}};
    std::map<std::string, std::string> asked;
    {
        const absl::MutexLock lock(&this->mutex);
        asked = this->open;
    }
    for (const auto &[job, known] : asked) {
        const std::string state = this->cell.jobState(this->anyEntryVm(), "/l/" + job);
        const auto check = checks.find(state);
        if (check != checks.end()) {
            (this->*check->second)(job);
        }
        const absl::MutexLock lock(&this->mutex);
        if (check != checks.end()) {
            ++this->ended;
            this->open.erase(job);
        } else if (!state.empty()) {
            this->open[job] = state;
        }
    }
}

void GangJobs::checkCompleted(const std::string &job)
{
    if (!this->work.isDone(stepOfJob(job))) {
        this->report.addViolation(fmt::format("job {} is shown as completed, but no run of it is done", job));
    }
}

void GangJobs::checkFailed(const std::string &job)
{
    ++this->failed;
    if (const std::size_t runs = this->work.failedRuns(stepOfJob(job)); runs < MaxAttempts) {
        this->report.addViolation(fmt::format("job {} is shown as failed after {} failed runs of {}", job, runs, MaxAttempts));
    }
}

void GangJobs::checkCancelled(const std::string &job)
{
    this->report.addViolation(fmt::format("job {} is shown as cancelled", job));
}

const std::string &GangJobs::anyEntryVm()
{
    return this->cell.entryVms()[this->random() % this->cell.entryVms().size()];
}

} // namespace cranberryreel::soak
