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

/// What tasks of the same partner and name turned out to use and to take: sizes and run times, each with a spread that shrinks as samples come in. Also
/// remembers on how many different upstreams a name failed in a row, to tell bad work from bad upstreams. Owned by the planner's state.
class WorkModel
{
public:
    NameIndex name(PartnerIndex partner, const std::string &name);

    /// A task that declared so much used at most so much.
    void observeSize(NameIndex name, const model::Resources &declared, const model::Resources &peak);
    void observeRunTime(NameIndex name, std::chrono::milliseconds took);
    void observeSuccess(NameIndex name);

    /// Who is to blame for a failed task.
    struct Blame {
        bool onWork = false; ///< The name failed on several upstreams with no success in between.
        std::vector<UpstreamIndex> cleared; ///< Upstreams that were blamed for it until now.
    };

    Blame observeFailure(NameIndex name, UpstreamIndex upstream);

    /// What a task that declares so much is expected to use, by how the name's declarations turned out: processors at the mean, memory, which cannot be
    /// throttled, with a margin. Nothing before enough samples. May be less than declared.
    std::optional<model::Resources> learnedSize(NameIndex name, const model::Resources &declared) const;

    /// The run time of a typical task: learned, else declared, else nothing.
    std::optional<std::chrono::milliseconds> typicalRunTime(NameIndex name, std::chrono::milliseconds declared) const;

    /// A run time that nineteen of twenty tasks stay under.
    std::optional<std::chrono::milliseconds> longRunTime(NameIndex name, std::chrono::milliseconds declared) const;

private:
    static constexpr std::size_t SizeDimensions = 3;
    static constexpr std::size_t BlamedAfterUpstreams = 3;

    /// Mean and mean absolute deviation, older samples fading.
    struct Spread {
        double mean = 0;
        double deviation = 0;
        void add(double sample, std::uint32_t samplesBefore);
    };

    struct Entry {
        std::array<Spread, SizeDimensions> ratios; ///< Of used to declared.
        Spread logRunTime; ///< Of the logarithm of milliseconds.
        std::uint32_t sizeSamples = 0;
        std::uint32_t runTimeSamples = 0;
        std::array<UpstreamIndex, BlamedAfterUpstreams> failedOn{NoIndex, NoIndex, NoIndex};
    };

    std::vector<Entry> entries{1}; ///< Entry 0 stands for names beyond the bound; it learns nothing.
    absl::flat_hash_map<std::pair<PartnerIndex, std::string>, NameIndex> byName;
};

} // namespace cranberryreel::policy
