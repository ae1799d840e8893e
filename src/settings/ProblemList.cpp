#include "settings/ProblemList.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

namespace cranberryreel::settings
{

namespace
{

constexpr std::size_t MaxLines = 100;

} // namespace

ProblemList::ProblemList(std::string name, std::optional<base::ResultCode> code)
    : fileName(std::move(name))
    , onlyCode(code)
{
}

void ProblemList::add(base::ResultCode code, const IniPlace &place, const std::string &message)
{
    if (this->lines.empty()) {
        this->firstCode = this->onlyCode.value_or(code);
    }
    if (this->lines.size() >= MaxLines) {
        return;
    }
    std::string line = this->fileName + ":";
    if (!place.section.empty()) {
        line += fmt::format(" [{}]", place.section);
    }
    if (!place.key.empty()) {
        line += " " + place.key;
    }
    if (place.line > 0) {
        line += fmt::format(" (line {})", place.line);
    }
    this->lines.push_back(fmt::format("{}: {}", line, message));
}

bool ProblemList::empty() const
{
    return this->lines.empty();
}

void ProblemList::throwIfAny() const
{
    if (!this->lines.empty()) {
        throw base::Error(this->firstCode, absl::StrJoin(this->lines, "\n"));
    }
}

} // namespace cranberryreel::settings
