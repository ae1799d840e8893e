#include "Scenarios.h"

#include "policy/SpillChooser.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>
#include <random>

namespace cranberryreel::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t Zones = 4;
constexpr std::size_t Servers = 64; ///< Number of tasks that a zone runs at once.
constexpr double ServiceMillis = 200;
constexpr double LengthMillis = 240000;
constexpr double HotPeriodMillis = 20000; ///< Time after which another zone is the hot one.
constexpr double HotLoad = 1.5;
constexpr double CoolLoad = 0.6;
constexpr double ViewLagMillis = 500;
constexpr double TransferMillis = 10;

enum class SpillPolicy : std::uint8_t {
    Never,
    Random,
    LeastLoaded, ///< Chooses the zone with the shortest reported wait.
    PowerOfTwo, ///< Uses the SpillChooser.
    Bandit, ///< Multi-armed bandit (UCB) on the waits of earlier spills, as in the DecVi paper.
};

constexpr std::array<std::pair<SpillPolicy, const char *>, 5> Policies{{{SpillPolicy::Never, "never"},
                                                                        {SpillPolicy::Random, "random"},
                                                                        {SpillPolicy::LeastLoaded, "least-loaded view"},
                                                                        {SpillPolicy::PowerOfTwo, "power of two"},
                                                                        {SpillPolicy::Bandit, "bandit (UCB)"}}};

/// What one zone has learned of another from the tasks that it sent there.
struct Arm {
    double meanWait = 0;
    double pulls = 0;
};

/// Simulates four zones, each a queue in front of many servers; the reported loads of the others lag. Owned by the scenario; used by one thread.
class SpillSim
{
public:
    SpillSim(SpillPolicy chosen, std::uint64_t seed)
        : policy(chosen)
        , random(seed)
    {
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            this->choosers.emplace_back(policy::SpillOptions{milliseconds(10), milliseconds(5000), milliseconds(3), seed + zone});
            this->nextArrival[zone] = this->drawArrivalGap(zone, 0);
        }
    }

    std::vector<double> run()
    {
        double nextReportAt = 0;
        for (;;) {
            const auto zone = static_cast<std::size_t>(std::min_element(this->nextArrival.begin(), this->nextArrival.end()) - this->nextArrival.begin());
            const double now = this->nextArrival[zone];
            if (now > LengthMillis) {
                return std::move(this->waits);
            }
            for (; nextReportAt <= now; nextReportAt += ViewLagMillis) {
                this->publishLoads(nextReportAt);
            }
            this->submitTask(zone, now);
            this->nextArrival[zone] = now + this->drawArrivalGap(zone, now);
        }
    }

private:
    double drawArrivalGap(std::size_t zone, double now)
    {
        const bool isHot = static_cast<std::size_t>(now / HotPeriodMillis) % Zones == zone;
        const double rate = (isHot ? HotLoad : CoolLoad) * Servers / ServiceMillis;
        return std::exponential_distribution<double>(rate)(this->random);
    }

    /// Returns the wait of a task that joins the queue of the zone now. The heap holds the times at which its servers become free.
    double expectedWait(std::size_t zone, double now) const
    {
        const auto &freeTimes = this->serverFreeAt[zone];
        return freeTimes.size() < Servers ? 0 : std::max(0.0, freeTimes.top() - now);
    }

    double enqueue(std::size_t zone, double now)
    {
        auto &freeTimes = this->serverFreeAt[zone];
        this->countBusy(zone, now);
        double start = now;
        if (freeTimes.size() >= Servers) {
            start = freeTimes.top();
            freeTimes.pop();
        }
        freeTimes.push(start + std::exponential_distribution<double>(1 / ServiceMillis)(this->random));
        return start - now;
    }

    std::size_t countBusy(std::size_t zone, double now)
    {
        auto &freeTimes = this->serverFreeAt[zone];
        while (!freeTimes.empty() && freeTimes.top() <= now) {
            freeTimes.pop();
        }
        return freeTimes.size();
    }

    void publishLoads(double now)
    {
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            this->reportedWaits[zone] = this->expectedWait(zone, now);
            const auto busy = this->countBusy(zone, now);
            const auto waiting = static_cast<std::uint32_t>(this->reportedWaits[zone] * Servers / ServiceMillis);
            const policy::LoadView load{static_cast<double>(busy) / Servers,
                                        waiting,
                                        milliseconds(std::llround(this->reportedWaits[zone])),
                                        static_cast<std::uint32_t>(Servers - busy)};
            for (std::size_t other = 0; other < Zones; ++other) {
                if (other != zone) {
                    this->choosers[other].setView(std::to_string(zone), load, steadyTime(now));
                }
            }
        }
    }

    static base::SteadyTime steadyTime(double now)
    {
        return base::SteadyTime(std::chrono::hours(1)) + milliseconds(std::llround(now));
    }

    void submitTask(std::size_t zone, double now)
    {
        const double local = this->expectedWait(zone, now);
        const std::size_t target = local > TransferMillis ? this->choose(zone, local, now) : zone;
        const double transfer = target == zone ? 0 : TransferMillis;
        const double wait = transfer + this->enqueue(target, now + transfer);
        this->waits.push_back(wait);
        if (target != zone) {
            Arm &arm = this->arms[zone][target];
            arm.pulls = std::min(arm.pulls + 1, 50.0);
            arm.meanWait += (wait - arm.meanWait) / arm.pulls;
        }
    }

    std::size_t choose(std::size_t zone, double local, double now)
    {
        switch (this->policy) {
        case SpillPolicy::Never:
            return zone;
        case SpillPolicy::Random:
            return this->random() % Zones;
        case SpillPolicy::LeastLoaded: {
            const auto best = static_cast<std::size_t>(std::min_element(this->reportedWaits.begin(), this->reportedWaits.end()) - this->reportedWaits.begin());
            return this->reportedWaits[best] + TransferMillis < local ? best : zone;
        }
        case SpillPolicy::PowerOfTwo: {
            const policy::LoadView load{1.0, 1, milliseconds(std::llround(local)), 0};
            const auto chosen = this->choosers[zone].choose(load, steadyTime(now));
            return chosen ? std::stoul(*chosen) : zone;
        }
        case SpillPolicy::Bandit:
            return this->chooseArm(zone, local);
        }
        return zone;
    }

    std::size_t chooseArm(std::size_t zone, double local)
    {
        constexpr double ExplorationMillis = 30;
        double total = 1;
        for (const Arm &arm : this->arms[zone]) {
            total += arm.pulls;
        }
        std::size_t best = zone;
        double bestBound = local;
        for (std::size_t other = 0; other < Zones; ++other) {
            const Arm &arm = this->arms[zone][other];
            const double bound = arm.pulls > 0 ? arm.meanWait - ExplorationMillis * std::sqrt(std::log(total) / arm.pulls) : -1;
            if (other != zone && bound < bestBound) {
                best = other;
                bestBound = bound;
            }
        }
        return best;
    }

    SpillPolicy policy;
    std::mt19937_64 random;
    std::array<double, Zones> nextArrival{};
    std::array<double, Zones> reportedWaits{};
    std::array<std::array<Arm, Zones>, Zones> arms{};
    std::array<std::priority_queue<double, std::vector<double>, std::greater<>>, Zones> serverFreeAt;
    std::vector<policy::SpillChooser> choosers;
    std::vector<double> waits;
};

} // namespace

/// Measures waits under each policy for spilling to another zone, with four zones that are overloaded in turn.
void runSpill(Report &report, const BenchOptions &options)
{
    for (const SeedSet &seedSet : seedSets(options)) {
        double plannerP99 = 0;
        double bestOtherP99 = std::numeric_limits<double>::infinity();
        for (const auto &[policy, name] : Policies) {
            std::vector<double> waits;
            for (const std::uint64_t seed : seedSet.seeds) {
                const std::vector<double> more = SpillSim(policy, seed).run();
                waits.insert(waits.end(), more.begin(), more.end());
            }
            const double p99 = quantile(waits, 0.99);
            plannerP99 = policy == SpillPolicy::PowerOfTwo ? p99 : plannerP99;
            bestOtherP99 = policy == SpillPolicy::PowerOfTwo ? bestOtherP99 : std::min(bestOtherP99, p99);
            report.add({"spill: 4 zones, the hot one changes every 20 s, views lag 500 ms",
                        name,
                        seedSet.name,
                        {{"mean_ms", mean(waits)}, {"p99_ms", p99}, {"max_ms", quantile(waits, 1.0)}}});
        }
        report.addTarget("spill p99 by the best other rule, " + seedSet.name, plannerP99 / bestOtherP99, 1.0, "times", "");
    }
}

} // namespace cranberryreel::bench
