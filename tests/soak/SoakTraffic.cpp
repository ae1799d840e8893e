#include "soak/SoakTraffic.h"

#include "soak/SoakPlan.h"
#include "support/Eventually.h"

#include <fmt/format.h>

#include <utility>

namespace cranberryreel::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr long StatusOk = 200;
constexpr long StatusBadRequest = 400;
constexpr long StatusNotFound = 404;
constexpr long StatusGone = 410;
/// An accepted job may be unknown for this time.
constexpr std::chrono::seconds VisibleTime{3};
/// Versions of invalid configurations start here.
constexpr int FirstInvalidVersion = 1000000;

} // namespace

SoakTraffic::SoakTraffic(support::PlatformCell &platformCell, SoakReport &soakReport, std::uint64_t randomSeed)
    : cell(platformCell)
    , report(soakReport)
    , seed(randomSeed)
{
    this->setControlVms(this->cell.diskVms());
}

SoakTraffic::~SoakTraffic()
{
    this->stop();
}

void SoakTraffic::start()
{
    static const std::pair<Loop, std::chrono::milliseconds> loops[] = {{&SoakTraffic::writeConfiguration, 60ms},
                                                                       {&SoakTraffic::readConfiguration, 20ms},
                                                                       {&SoakTraffic::readConfiguration, 70ms},
                                                                       {&SoakTraffic::submitJob, 100ms},
                                                                       {&SoakTraffic::submitJob, 150ms},
                                                                       {&SoakTraffic::submitJob, 200ms},
                                                                       {&SoakTraffic::askForJob, 50ms}};
    std::uint64_t threadSeed = this->seed;
    for (const auto &[loop, pause] : loops) {
        this->threads.emplace_back(&SoakTraffic::run, this, loop, ++threadSeed, pause);
    }
}

void SoakTraffic::stop()
{
    this->stopped = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void SoakTraffic::setControlVms(std::vector<std::string> vms)
{
    const absl::MutexLock lock(&this->mutex);
    this->controlVms = std::move(vms);
}

ServedCounts SoakTraffic::counts() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->served;
}

void SoakTraffic::checkJobs()
{
    std::vector<AcceptedJob> accepted;
    {
        const absl::MutexLock lock(&this->mutex);
        accepted = this->jobs;
    }
    const auto until = std::chrono::steady_clock::now() + RecoveryTime;
    for (const AcceptedJob &job : accepted) {
        long status = 0;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        const bool known = support::eventually([&] { return (status = this->cell.stateOf(this->cell.entryVms().front(), job.id)) == StatusOk; }, left);
        if (!known) {
            this->report.addViolation(fmt::format("the accepted job {} is not known at the end: status {}", job.id, status));
        }
    }
}

void SoakTraffic::run(Loop loop, std::uint64_t threadSeed, std::chrono::milliseconds pause)
{
    Random random(threadSeed);
    while (!this->stopped) {
        (this->*loop)(random);
        std::this_thread::sleep_for(pause);
    }
}

void SoakTraffic::writeConfiguration(Random &random)
{
    constexpr std::uint64_t InvalidShare = 10;
    const int version = this->counts().acknowledged + 1;
    const std::string vm = this->anyControlVm(random);
    if (random() % InvalidShare == 0) {
        const std::string invalid = fmt::format(R"({{"Version":{},"Routes":7}})", FirstInvalidVersion + version);
        if (this->cell.put(vm, invalid) == StatusOk) {
            this->report.addViolation(vm + " accepted an invalid configuration");
        }
    }
    this->sent = version;
    const long status = this->cell.putConfig(vm, version);
    if (status == StatusBadRequest) {
        this->report.addViolation(fmt::format("{} refused the valid configuration {}", vm, version));
    }
    if (status == StatusOk) {
        const absl::MutexLock lock(&this->mutex);
        this->served.acknowledged = version;
    }
}

void SoakTraffic::readConfiguration(Random &random)
{
    const int acknowledged = this->counts().acknowledged;
    const std::string vm = this->anyControlVm(random);
    const std::optional<int> read = this->cell.getConfig(vm);
    if (!read) {
        return;
    }
    if (*read < acknowledged || *read > this->sent) {
        this->report.addViolation(
            fmt::format("{} returned configuration {}; {} was acknowledged before, {} is the newest sent", vm, *read, acknowledged, this->sent));
    }
    const absl::MutexLock lock(&this->mutex);
    ++this->served.readBack;
}

void SoakTraffic::submitJob(Random &random)
{
    const std::string id = fmt::format("{:016x}", random());
    const long status = this->cell.submit(this->anyEntryVm(random), id);
    if (status >= 200 && status < 300) {
        const absl::MutexLock lock(&this->mutex);
        this->jobs.push_back({id, std::chrono::steady_clock::now()});
        this->served.acceptedJobs = this->jobs.size();
    }
}

void SoakTraffic::askForJob(Random &random)
{
    std::string id;
    {
        const absl::MutexLock lock(&this->mutex);
        if (this->jobs.empty()) {
            return;
        }
        const AcceptedJob &job = this->jobs[random() % this->jobs.size()];
        id = std::chrono::steady_clock::now() - job.time > VisibleTime ? job.id : std::string();
    }
    const std::string vm = this->anyEntryVm(random);
    const long status = id.empty() ? StatusOk : this->cell.stateOf(vm, id);
    if (status == StatusNotFound || status == StatusGone) {
        this->report.addViolation(fmt::format("{} does not know the accepted job {}: status {}", vm, id, status));
    }
}

std::string SoakTraffic::anyControlVm(Random &random) const
{
    const absl::MutexLock lock(&this->mutex);
    return this->controlVms[random() % this->controlVms.size()];
}

std::string SoakTraffic::anyEntryVm(Random &random) const
{
    return this->cell.entryVms()[random() % this->cell.entryVms().size()];
}

} // namespace cranberryreel::soak
