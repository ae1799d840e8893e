#include "cell/teams/SubmissionLimit.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>

namespace cranberryreel::cell::teams
{

namespace
{

struct Dimension {
    const char *name;
    std::uint64_t wire::TeamT::*limit;
    std::uint32_t wire::StepT::*need;
};

constexpr Dimension Dimensions[] = {
    {"cpu_millis", &wire::TeamT::cpu_millis, &wire::StepT::cpu_millis},
    {"memory_mib", &wire::TeamT::memory_mib, &wire::StepT::memory_mib},
    {"accelerators", &wire::TeamT::accelerators, &wire::StepT::accelerators},
};

} // namespace

std::optional<std::string> limitExcess(const wire::TeamT &team, const wire::JobSpecT &job)
{
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const wire::StepT &step = *job.steps[i];
        const std::uint64_t together = step.gang ? step.tasks : 1;
        for (const Dimension &dimension : Dimensions) {
            const std::uint64_t need = together * (step.*dimension.need);
            const std::uint64_t limit = team.*dimension.limit;
            if (limit > 0 && need > limit) {
                return fmt::format("Step {} needs {} {} at once; the limit of team '{}' is {}.", i, need, dimension.name, team.name, limit);
            }
        }
    }
    return std::nullopt;
}

} // namespace cranberryreel::cell::teams
