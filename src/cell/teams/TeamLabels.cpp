#include "cell/teams/TeamLabels.h"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>

namespace cranberryreel::cell::teams
{

std::string TeamLabels::labelFor(const std::string &team)
{
    if (team.empty()) {
        return "team=\"none\"";
    }
    if (this->names.size() < MaxNames) {
        this->names.insert(team);
    }
    if (this->names.count(team) == 0) {
        return "team=\"other\"";
    }
    return fmt::format("team=\"{}\"", absl::StrReplaceAll(team, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}));
}

} // namespace cranberryreel::cell::teams
