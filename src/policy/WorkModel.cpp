#include "policy/WorkModel.h"

#include <algorithm>
#include <cmath>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t MaxNames = 65536;
constexpr std::uint32_t MinSamples = 3;
constexpr double FadeFactor = 0.1;
constexpr double SizeMargin = 2.5; ///< Mean absolute deviations above the mean; about two standard deviations.
constexpr double FewSamplesMargin = 4.0; ///< Added margin, divided by the root of the samples.
constexpr double LongRunMargin = 2.1; ///< The 95th percentile of a normal spread, in mean absolute deviations.
constexpr int UnprovenDeclaration = 2; ///< A declared run time is doubled where a bound is wanted.

std::chrono::milliseconds fromLog(double logMillis)
{
    constexpr double MaxLog = 30.0;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::exp(std::min(logMillis, MaxLog)))));
}

} // namespace

void WorkModel::Spread::add(double sample, std::uint32_t samplesBefore)
{
    if (samplesBefore == 0) {
        this->mean = sample;
        return;
    }
    const double weight = std::max(FadeFactor, 1.0 / (samplesBefore + 1.0));
    const double distance = std::abs(sample - this->mean);
    this->deviation += (distance - this->deviation) * weight;
    this->mean += (sample - this->mean) * weight;
}

NameIndex WorkModel::name(PartnerIndex partner, const std::string &name)
{
    if (const auto found = this->byName.find(std::pair(partner, name)); found != this->byName.end()) {
        return found->second;
    }
    if (this->entries.size() >= MaxNames) {
        return 0;
    }
    const auto index = static_cast<NameIndex>(this->entries.size());
    this->entries.emplace_back();
    this->byName.emplace(std::pair(partner, name), index);
    return index;
}

void WorkModel::observeSize(NameIndex name, const model::Resources &peak)
{
    if (name == 0 || peak.isZero()) {
        return;
    }
    Entry &entry = this->entries[name];
    entry.sizes[0].add(static_cast<double>(peak.cpuMillis), entry.sizeSamples);
    entry.sizes[1].add(static_cast<double>(peak.memoryMiB), entry.sizeSamples);
    entry.sizes[2].add(static_cast<double>(peak.accelerators), entry.sizeSamples);
    ++entry.sizeSamples;
}

void WorkModel::observeRunTime(NameIndex name, std::chrono::milliseconds took)
{
    if (name == 0) {
        return;
    }
    Entry &entry = this->entries[name];
    entry.logRunTime.add(std::log(std::max(1.0, static_cast<double>(took.count()))), entry.runTimeSamples);
    ++entry.runTimeSamples;
}

void WorkModel::observeSuccess(NameIndex name)
{
    this->entries[name].failedOn.fill(NoIndex);
}

bool WorkModel::observeFailure(NameIndex name, UpstreamIndex upstream)
{
    if (name == 0) {
        return false;
    }
    for (auto &failed : this->entries[name].failedOn) {
        if (failed == upstream) {
            return false;
        }
        if (failed == NoIndex) {
            failed = upstream;
            return &failed == &this->entries[name].failedOn.back();
        }
    }
    return true;
}

std::optional<model::Resources> WorkModel::learnedSize(NameIndex name) const
{
    const Entry &entry = this->entries[name];
    if (entry.sizeSamples < MinSamples) {
        return std::nullopt;
    }
    const double margin = SizeMargin + FewSamplesMargin / std::sqrt(static_cast<double>(entry.sizeSamples));
    const auto bound = [margin](const Spread &spread) { return static_cast<std::int64_t>(std::ceil(spread.mean + margin * spread.deviation)); };
    return model::Resources{bound(entry.sizes[0]), bound(entry.sizes[1]), static_cast<std::int64_t>(std::llround(entry.sizes[2].mean))};
}

std::optional<std::chrono::milliseconds> WorkModel::typicalRunTime(NameIndex name, std::chrono::milliseconds declared) const
{
    if (const Entry &entry = this->entries[name]; entry.runTimeSamples >= MinSamples) {
        return fromLog(entry.logRunTime.mean);
    }
    return declared.count() > 0 ? std::optional(declared) : std::nullopt;
}

std::optional<std::chrono::milliseconds> WorkModel::longRunTime(NameIndex name, std::chrono::milliseconds declared) const
{
    if (const Entry &entry = this->entries[name]; entry.runTimeSamples >= MinSamples) {
        const double margin = LongRunMargin + FewSamplesMargin / std::sqrt(static_cast<double>(entry.runTimeSamples));
        return fromLog(entry.logRunTime.mean + margin * entry.logRunTime.deviation);
    }
    return declared.count() > 0 ? std::optional(declared * UnprovenDeclaration) : std::nullopt;
}

} // namespace cranberryreel::policy
