#pragma once

#include "cranberryreel/base/Clock.h"
#include "cranberryreel/model/Resources.h"
#include "policy/Ids.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryreel::policy
{

/// Learned sizes and run times of tasks by partner and name, each with a spread that shrinks as samples come in. Also records on how many different upstreams
/// a name failed in a row, to tell faulty work from faulty upstreams. Owned by ZoneState; used by the planner's thread only.
class WorkModel
{
public:
    NameIndex findOrAddName(PartnerIndex partner, const std::string &name);

    /// Records the peak usage of a task with this declared size.
    void observeSize(NameIndex name, const model::Resources &declared, const model::Resources &peak);
    void observeRunTime(NameIndex name, std::chrono::milliseconds runTime);
    void observeSuccess(NameIndex name);

    /// Whether the work or the upstream is blamed for a failed task.
    struct Blame {
        bool onWork = false; ///< The name failed on several upstreams without a success in between.
        std::vector<UpstreamIndex> cleared; ///< Upstreams that had been blamed for failures of this name until now.
    };

    Blame observeFailure(NameIndex name, UpstreamIndex upstream);

    /// Returns the expected usage of a task with this declared size, by the ratio of usage to declaration of the name's earlier tasks: CPU at the mean;
    /// memory, which cannot be throttled, with a margin. Returns nothing before there are enough samples. May be less than declared.
    std::optional<model::Resources> learnedSize(NameIndex name, const model::Resources &declared) const;

    /// Returns the typical run time: learned, else declared, else nothing.
    std::optional<std::chrono::milliseconds> typicalRunTime(NameIndex name, std::chrono::milliseconds declared) const;

    /// Returns a run time that 95% of the tasks stay under.
    std::optional<std::chrono::milliseconds> longRunTime(NameIndex name, std::chrono::milliseconds declared) const;

private:
    static constexpr std::size_t SizeDimensions = 3;
    static constexpr std::size_t UpstreamsUntilWorkBlamed = 3;

    /// Exponentially weighted mean and mean absolute deviation.
    struct Spread {
        double mean = 0;
        double deviation = 0;
        void add(double sample, std::uint32_t samplesBefore);
    };

    struct Entry {
        std::array<Spread, SizeDimensions> ratios; ///< Ratios of used to declared size.
        Spread logRunTime; ///< Logarithm of the run time in milliseconds.
        std::uint32_t sizeSamples = 0;
        std::uint32_t runTimeSamples = 0;
        std::array<UpstreamIndex, UpstreamsUntilWorkBlamed> failedOn{NoIndex, NoIndex, NoIndex};
    };

    std::vector<Entry> entries{1}; ///< Entry 0 stands for names beyond MaxNames and learns nothing.
    absl::flat_hash_map<std::pair<PartnerIndex, std::string>, NameIndex> byName;
};

} // namespace cranberryreel::policy
