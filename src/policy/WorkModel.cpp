#include "policy/WorkModel.h"

#include <algorithm>
#include <cmath>

namespace cranberryreel::policy
{

namespace
{

constexpr std::size_t MaxNames = 65536;
constexpr std::uint32_t MinSamples = 3;
constexpr double SmoothingFactor = 0.1;
constexpr double MemoryMargin = 1.25; ///< In mean absolute deviations above the mean; about one standard deviation.
constexpr double FewSamplesMargin = 4.0; ///< Extra margin, divided by the square root of the number of samples.
constexpr double LongRunMargin = 2.1; ///< In mean absolute deviations; the 95th percentile of a normal distribution.
constexpr int DeclaredRunTimeFactor = 2; ///< Factor on a declared run time where an upper bound is needed.

double ratio(std::int64_t used, std::int64_t declared)
{
    return static_cast<double>(used) / static_cast<double>(std::max<std::int64_t>(1, declared));
}

std::int64_t scaled(std::int64_t declared, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(declared) * factor));
}

std::chrono::milliseconds fromLog(double logMillis)
{
    constexpr double MaxLog = 24.0; // Logarithm of about ten months in milliseconds.
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::exp(std::min(logMillis, MaxLog)))));
}

} // namespace

void WorkModel::Spread::add(double sample, std::uint32_t samplesBefore)
{
    if (samplesBefore == 0) {
        this->mean = sample;
        return;
    }
    const double weight = std::max(SmoothingFactor, 1.0 / (samplesBefore + 1.0));
    const double distance = std::abs(sample - this->mean);
    this->deviation += (distance - this->deviation) * weight;
    this->mean += (sample - this->mean) * weight;
}

NameIndex WorkModel::findOrAddName(PartnerIndex partner, const std::string &name)
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

void WorkModel::observeSize(NameIndex name, const model::Resources &declared, const model::Resources &peak)
{
    if (name == 0 || peak.isZero()) {
        return;
    }
    Entry &entry = this->entries[name];
    entry.ratios[0].add(ratio(peak.cpuMillis, declared.cpuMillis), entry.sizeSamples);
    entry.ratios[1].add(ratio(peak.memoryMiB, declared.memoryMiB), entry.sizeSamples);
    entry.ratios[2].add(ratio(peak.accelerators, declared.accelerators), entry.sizeSamples);
    ++entry.sizeSamples;
}

void WorkModel::observeRunTime(NameIndex name, std::chrono::milliseconds runTime)
{
    if (name == 0) {
        return;
    }
    Entry &entry = this->entries[name];
    entry.logRunTime.add(std::log(std::max(1.0, static_cast<double>(runTime.count()))), entry.runTimeSamples);
    ++entry.runTimeSamples;
}

void WorkModel::observeSuccess(NameIndex name)
{
    this->entries[name].failedOn.fill(NoIndex);
}

WorkModel::Blame WorkModel::observeFailure(NameIndex name, UpstreamIndex upstream)
{
    if (name == 0) {
        return {};
    }
    auto &failedOn = this->entries[name].failedOn;
    for (auto &failed : failedOn) {
        if (failed == upstream) {
            return {failedOn.back() != NoIndex, {}};
        }
        if (failed == NoIndex) {
            failed = upstream;
            const bool isLast = &failed == &failedOn.back();
            return {isLast, isLast ? std::vector<UpstreamIndex>(failedOn.begin(), failedOn.end()) : std::vector<UpstreamIndex>()};
        }
    }
    return {true, {}};
}

std::optional<model::Resources> WorkModel::learnedSize(NameIndex name, const model::Resources &declared) const
{
    const Entry &entry = this->entries[name];
    if (entry.sizeSamples < MinSamples) {
        return std::nullopt;
    }
    const double memoryRatio = entry.ratios[1].mean + MemoryMargin * entry.ratios[1].deviation;
    return model::Resources{scaled(declared.cpuMillis, entry.ratios[0].mean),
                            scaled(declared.memoryMiB, memoryRatio),
                            static_cast<std::int64_t>(std::llround(static_cast<double>(declared.accelerators) * entry.ratios[2].mean))};
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
    return declared.count() > 0 ? std::optional(declared * DeclaredRunTimeFactor) : std::nullopt;
}

} // namespace cranberryreel::policy
