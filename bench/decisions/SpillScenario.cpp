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
constexpr std::size_t Servers = 64; ///< Tasks that a zone runs at once.
constexpr double ServiceMillis = 200;
constexpr double LengthMillis = 240000;
constexpr double HotPeriodMillis = 20000; ///< The hot zone changes so often.
constexpr double HotLoad = 1.5;
constexpr double CoolLoad = 0.6;
constexpr double ViewLagMillis = 500;
constexpr double TransferMillis = 10;

enum class SpillPolicy : std::uint8_t {
    Never,
    Random,
    LeastLoaded, ///< Of all views, as they stand.
    PowerOfTwo, ///< The SpillChooser.
    Bandit, ///< Explore and exploit on the waits of earlier spills (UCB), as in the DecVi paper.
};

constexpr std::array<std::pair<SpillPolicy, const char *>, 5> Policies{{{SpillPolicy::Never, "never"},
                                                                        {SpillPolicy::Random, "random"},
                                                                        {SpillPolicy::LeastLoaded, "least-loaded view"},
                                                                        {SpillPolicy::PowerOfTwo, "power of two"},
                                                                        {SpillPolicy::Bandit, "bandit (UCB)"}}};

/// What one zone has learned of another from the tasks it sent there.
struct Arm {
    double meanWait = 0;
    double pulls = 0;
};

/// Four zones, each a queue before many servers; views of the others lag.
class SpillSim
{
public:
    SpillSim(SpillPolicy chosen, std::uint64_t seed)
        : policy(chosen)
        , random(seed)
    {
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            this->choosers.emplace_back(policy::SpillOptions{milliseconds(10), milliseconds(5000), milliseconds(3), seed + zone});
            this->nextArrival[zone] = this->gap(zone, 0);
        }
    }

    std::vector<double> run()
    {
        double viewAt = 0;
        for (;;) {
            const auto zone = static_cast<std::size_t>(std::min_element(this->nextArrival.begin(), this->nextArrival.end()) - this->nextArrival.begin());
            const double now = this->nextArrival[zone];
            if (now > LengthMillis) {
                return std::move(this->waits);
            }
            for (; viewAt <= now; viewAt += ViewLagMillis) {
                this->shareViews(viewAt);
            }
            this->arrive(zone, now);
            this->nextArrival[zone] = now + this->gap(zone, now);
        }
    }

private:
    double gap(std::size_t zone, double now)
    {
        const bool hot = static_cast<std::size_t>(now / HotPeriodMillis) % Zones == zone;
        const double rate = (hot ? HotLoad : CoolLoad) * Servers / ServiceMillis;
        return std::exponential_distribution<double>(rate)(this->random);
    }

    /// The wait of a task that joins the zone's queue now: servers free up at the times in the heap.
    double expectedWait(std::size_t zone, double now) const
    {
        const auto &heap = this->freeAt[zone];
        return heap.size() < Servers ? 0 : std::max(0.0, heap.top() - now);
    }

    double join(std::size_t zone, double now)
    {
        auto &heap = this->freeAt[zone];
        this->busy(zone, now);
        double start = now;
        if (heap.size() >= Servers) {
            start = heap.top();
            heap.pop();
        }
        heap.push(start + std::exponential_distribution<double>(1 / ServiceMillis)(this->random));
        return start - now;
    }

    std::size_t busy(std::size_t zone, double now)
    {
        auto &heap = this->freeAt[zone];
        while (!heap.empty() && heap.top() <= now) {
            heap.pop();
        }
        return heap.size();
    }

    void shareViews(double now)
    {
        for (std::size_t zone = 0; zone < Zones; ++zone) {
            this->views[zone] = this->expectedWait(zone, now);
            const auto busy = this->busy(zone, now);
            const auto waiting = static_cast<std::uint32_t>(this->views[zone] * Servers / ServiceMillis);
            const policy::LoadView load{
                static_cast<double>(busy) / Servers, waiting, milliseconds(std::llround(this->views[zone])), static_cast<std::uint32_t>(Servers - busy)};
            for (std::size_t other = 0; other < Zones; ++other) {
                if (other != zone) {
                    this->choosers[other].setView(std::to_string(zone), load, clock(now));
                }
            }
        }
    }

    static base::SteadyTime clock(double now)
    {
        return base::SteadyTime(std::chrono::hours(1)) + milliseconds(std::llround(now));
    }

    void arrive(std::size_t zone, double now)
    {
        const double local = this->expectedWait(zone, now);
        const std::size_t target = local > TransferMillis ? this->choose(zone, local, now) : zone;
        const double transfer = target == zone ? 0 : TransferMillis;
        const double wait = transfer + this->join(target, now + transfer);
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
            const auto best = static_cast<std::size_t>(std::min_element(this->views.begin(), this->views.end()) - this->views.begin());
            return this->views[best] + TransferMillis < local ? best : zone;
        }
        case SpillPolicy::PowerOfTwo: {
            const policy::LoadView load{1.0, 1, milliseconds(std::llround(local)), 0};
            const auto chosen = this->choosers[zone].choose(load, clock(now));
            return chosen ? std::stoul(*chosen) : zone;
        }
        case SpillPolicy::Bandit:
            return this->pullBestArm(zone, local);
        }
        return zone;
    }

    std::size_t pullBestArm(std::size_t zone, double local)
    {
        constexpr double ExploreMillis = 30;
        double total = 1;
        for (const Arm &arm : this->arms[zone]) {
            total += arm.pulls;
        }
        std::size_t best = zone;
        double bestBound = local;
        for (std::size_t other = 0; other < Zones; ++other) {
            const Arm &arm = this->arms[zone][other];
            const double bound = arm.pulls > 0 ? arm.meanWait - ExploreMillis * std::sqrt(std::log(total) / arm.pulls) : -1;
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
    std::array<double, Zones> views{};
    std::array<std::array<Arm, Zones>, Zones> arms{};
    std::array<std::priority_queue<double, std::vector<double>, std::greater<>>, Zones> freeAt;
    std::vector<policy::SpillChooser> choosers;
    std::vector<double> waits;
};

} // namespace

/// Four zones of which one is overloaded, in turns: what tasks wait under each rule for spilling to another zone.
void runSpill(Report &report, const BenchOptions &options)
{
    for (const SeedSet &set : seedSets(options)) {
        double ours = 0;
        double best = std::numeric_limits<double>::infinity();
        for (const auto &[policy, name] : Policies) {
            std::vector<double> waits;
            for (const std::uint64_t seed : set.seeds) {
                const std::vector<double> more = SpillSim(policy, seed).run();
                waits.insert(waits.end(), more.begin(), more.end());
            }
            const double p99 = quantile(waits, 0.99);
            ours = policy == SpillPolicy::PowerOfTwo ? p99 : ours;
            best = policy == SpillPolicy::PowerOfTwo ? best : std::min(best, p99);
            report.add({"spill: 4 zones, the hot one changes every 20 s, views lag 500 ms",
                        name,
                        set.name,
                        {{"mean_ms", mean(waits)}, {"p99_ms", p99}, {"max_ms", quantile(waits, 1.0)}}});
        }
        report.target("spill p99 by the best other rule, " + set.name, ours / best, 1.0, "times", "");
    }
}

} // namespace cranberryreel::bench
