#include "zone/TaskName.h"

#include <absl/strings/numbers.h>

namespace cranberryreel::zone
{

std::string TaskName::toString() const
{
    return this->job + '.' + std::to_string(this->index);
}

std::optional<TaskName> TaskName::parse(const std::string &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos || dot == 0) {
        return std::nullopt;
    }
    TaskName name;
    name.job = text.substr(0, dot);
    if (!absl::SimpleAtoi(text.substr(dot + 1), &name.index)) {
        return std::nullopt;
    }
    return name;
}

} // namespace cranberryreel::zone
