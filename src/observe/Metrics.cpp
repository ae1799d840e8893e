#include "observe/Metrics.h"

#include "cranberryreel/base/Error.h"
#include "observe/LogarithmicDurations.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <variant>

namespace cranberryreel::observe
{

namespace
{

class AtomicCounter : public Counter
{
public:
    void add(std::uint64_t events) override
    {
        this->count.fetch_add(events, std::memory_order_relaxed);
    }

    std::uint64_t value() const override
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> count{0};
};

using GaugeReader = std::shared_ptr<const std::function<double()>>;
using Instrument = std::variant<std::shared_ptr<AtomicCounter>, std::shared_ptr<LogarithmicDurations>, GaugeReader>;

/// All instruments with the same name, by their labels.
struct Family {
    std::string help;
    std::map<std::string, Instrument> byLabels;
};

struct Registry {
    absl::Mutex mutex;
    std::map<std::string, Family> families ABSL_GUARDED_BY(mutex);
};

Registry &registry()
{
    static auto *instance = new Registry; // Never destroyed, because threads may update metrics until the process ends.
    return *instance;
}

template<typename Kind>
Kind &instrument(const std::string &name, const std::string &help, const std::string &labels)
{
    absl::MutexLock lock(&registry().mutex);
    Family &family = registry().families[name];
    family.help = help;
    if (!family.byLabels.empty() && !std::holds_alternative<std::shared_ptr<Kind>>(family.byLabels.begin()->second)) {
        throw base::Error(base::ResultCode::Internal, fmt::format("metric '{}' is already registered with another type", name));
    }
    auto [found, isNew] = family.byLabels.try_emplace(labels);
    if (isNew) {
        found->second = std::make_shared<Kind>();
    }
    return *std::get<std::shared_ptr<Kind>>(found->second);
}

std::string sampleName(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

struct InstrumentTypeName {
    const char *operator()(const std::shared_ptr<AtomicCounter> & /*counter*/) const
    {
        return "counter";
    }

    const char *operator()(const std::shared_ptr<LogarithmicDurations> & /*durations*/) const
    {
        return "histogram";
    }

    const char *operator()(const GaugeReader & /*gauge*/) const
    {
        return "gauge";
    }
};

struct SampleFormatter {
    const std::string &name;
    const std::string &labels;

    std::string operator()(const std::shared_ptr<AtomicCounter> &counter) const
    {
        return fmt::format("{} {}\n", sampleName(this->name, this->labels), counter->value());
    }

    std::string operator()(const std::shared_ptr<LogarithmicDurations> &durations) const
    {
        return durations->prometheusLines(this->name, this->labels);
    }

    std::string operator()(const GaugeReader &read) const
    {
        return fmt::format("{} {}\n", sampleName(this->name, this->labels), (*read)());
    }
};

} // namespace

Counter &counter(const std::string &name, const std::string &help, const std::string &labels)
{
    return instrument<AtomicCounter>(name, help, labels);
}

DurationHistogram &durations(const std::string &name, const std::string &help, const std::string &labels)
{
    return instrument<LogarithmicDurations>(name, help, labels);
}

void gauge(const std::string &name, const std::string &help, const std::string &labels, std::function<double()> read)
{
    absl::MutexLock lock(&registry().mutex);
    Family &family = registry().families[name];
    family.help = help;
    family.byLabels[labels] = std::make_shared<const std::function<double()>>(std::move(read));
}

std::string prometheusText()
{
    std::map<std::string, Family> families;
    {
        absl::MutexLock lock(&registry().mutex);
        families = registry().families;
    }
    std::string text;
    for (const auto &[name, family] : families) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.help, name, std::visit(InstrumentTypeName{}, family.byLabels.begin()->second));
        for (const auto &[labels, instrument] : family.byLabels) {
            text += std::visit(SampleFormatter{name, labels}, instrument);
        }
    }
    return text;
}

} // namespace cranberryreel::observe
