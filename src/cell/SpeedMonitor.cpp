#include "cell/SpeedMonitor.h"

#include "observe/Log.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <string>

namespace cranberryreel::cell
{

namespace
{

using std::chrono::milliseconds;

const observe::Log Logger("cell");

/// The types of upstreams are read again so often; labels change with an incarnation only.
constexpr milliseconds UpdateInterval{1000};
/// Bounds of the classes in the metrics, for upstreams whose speed clearly differs from the mean.
constexpr double SlowBelow = 0.8;
constexpr double FastAbove = 1.25;

/// The number of upstreams by speed class, as exported; unknown (NaN) on a VM that does not lead or does not estimate speeds.
class ClassGauges
{
public:
    static ClassGauges &instance()
    {
        static ClassGauges gauges;
        return gauges;
    }

    void set(double slow, double nominal, double fast)
    {
        this->values[0] = slow;
        this->values[1] = nominal;
        this->values[2] = fast;
    }

    void setUnknown()
    {
        constexpr double Unknown = std::numeric_limits<double>::quiet_NaN();
        this->set(Unknown, Unknown, Unknown);
    }

private:
    ClassGauges()
    {
        this->setUnknown();
        constexpr std::array<const char *, 3> Names{"slow", "nominal", "fast"};
        for (std::size_t i = 0; i < Names.size(); ++i) {
            observe::gauge("cranberryreel_cell_upstreams_by_speed",
                           "Upstreams by estimated speed: slow below 0.8 of the mean, fast above 1.25. NaN on a VM that does not lead.",
                           "class=\"" + std::string(Names[i]) + "\"",
                           [this, i] { return this->values[i].load(); });
        }
    }

    std::array<std::atomic<double>, 3> values;
};

} // namespace

SpeedMonitor::SpeedMonitor(const CellOptions &cellOptions, CellStore &cellStore)
    : options(cellOptions)
    , store(cellStore)
{
}

SpeedMonitor::~SpeedMonitor()
{
    if (this->options.upstreamSpeeds) {
        ClassGauges::instance().setUnknown();
    }
}

const health::UpstreamSpeeds *SpeedMonitor::speeds() const
{
    return this->options.upstreamSpeeds ? &this->upstreamSpeeds : nullptr;
}

double SpeedMonitor::usualSpeedOf(std::uint64_t upstream) const
{
    return this->upstreamSpeeds.usualSpeedOf(upstream);
}

/// Tasks of gangs wait for each other, lasting ones do not end, fillers run at the pace of what others leave, and tasks that need one rack depend on each
/// other.
std::optional<milliseconds> SpeedMonitor::comparableTime(const TrackedRun &run, base::SteadyTime now) const
{
    return this->store.read([this, &run, now](const CellState &state) -> std::optional<milliseconds> {
        const StepKey &key = run.key.task.step;
        const wire::JobT *job = state.job(key.job);
        const auto upstream = state.upstreams().find(run.upstream);
        if (job == nullptr || upstream == state.upstreams().end()) {
            return std::nullopt;
        }
        const wire::StepT &step = *job->spec->steps[key.step];
        if (step.gang || step.lasting || step.filler || step.one_rack) {
            return std::nullopt;
        }
        const auto &labels = upstream->second.labels;
        const bool isFar = !step.data_rack.empty() && std::find(labels.begin(), labels.end(), step.data_rack) == labels.end();
        const std::chrono::duration<double, std::milli> elapsed(now - run.startedAt);
        return std::chrono::duration_cast<milliseconds>(isFar ? elapsed / this->options.farRackFactor : elapsed);
    });
}

void SpeedMonitor::recordCompletion(const TrackedRun &run, base::SteadyTime now)
{
    // When an adopted run started, or one whose first start request had no answer, is not known, and a later attempt may have resumed from a checkpoint. The
    // progress of these runs still shows their pace.
    const bool ranWhole = run.startRequests == 1 && run.key.attempt == 1;
    if (!this->options.upstreamSpeeds || !ranWhole) {
        return;
    }
    if (const auto duration = this->comparableTime(run, now)) {
        this->upstreamSpeeds.recordCompletion(run.key, run.upstream, *duration, now);
    }
}

void SpeedMonitor::recordProgress(const TrackedRun &run, base::SteadyTime now)
{
    if (!this->options.upstreamSpeeds || run.phase != RunPhase::Confirmed) {
        return;
    }
    if (const auto elapsed = this->comparableTime(run, now)) {
        this->upstreamSpeeds.recordProgress(run.key, run.upstream, run.percent, *elapsed, now);
    }
}

void SpeedMonitor::forget(std::uint64_t upstream)
{
    this->upstreamSpeeds.forget(upstream);
}

void SpeedMonitor::eraseClosedJobs(const CellState &state)
{
    this->upstreamSpeeds.eraseClosedJobs(state);
}

void SpeedMonitor::update(base::SteadyTime now)
{
    if (!this->options.upstreamSpeeds || now < this->nextUpdate) {
        return;
    }
    this->nextUpdate = now + UpdateInterval;
    const std::size_t upstreamCount = this->store.read([this](const CellState &state) {
        this->readTypes(state);
        this->exportClasses(state);
        return state.upstreams().size();
    });
    this->logUnevenness(upstreamCount);
}

void SpeedMonitor::readTypes(const CellState &state)
{
    for (const auto &[number, upstream] : state.upstreams()) {
        this->upstreamSpeeds.setType(number, upstream.labels.empty() ? std::string() : upstream.labels.front());
    }
}

void SpeedMonitor::exportClasses(const CellState &state) const
{
    double slow = 0;
    double nominal = 0;
    double fast = 0;
    for (const auto &[number, upstream] : state.upstreams()) {
        const double speed = this->upstreamSpeeds.speedOf(number);
        ++(speed < SlowBelow ? slow : speed > FastAbove ? fast : nominal);
    }
    ClassGauges::instance().set(slow, nominal, fast);
}

void SpeedMonitor::logUnevenness(std::size_t upstreamCount)
{
    if (this->upstreamSpeeds.isUneven() == this->loggedUneven) {
        return;
    }
    this->loggedUneven = this->upstreamSpeeds.isUneven();
    Logger.info("event=placement_by_speed on={} lower_quartile={:.2f} upper_quartile={:.2f} types_differ={} upstreams={}",
                this->loggedUneven,
                this->upstreamSpeeds.lowerQuartile(),
                this->upstreamSpeeds.upperQuartile(),
                this->upstreamSpeeds.typesDiffer(),
                upstreamCount);
}

} // namespace cranberryreel::cell
