#include "upstream/WireNames.h"

#include <array>

namespace cranberryreel::upstream
{

namespace
{

template<typename Value>
struct NameRow {
    Value value;
    std::string_view name;
};

constexpr std::array<NameRow<model::JobKind>, 4> Kinds = {{
    {model::JobKind::Request, "request"},
    {model::JobKind::Service, "service"},
    {model::JobKind::Batch, "batch"},
    {model::JobKind::Gang, "gang"},
}};

constexpr std::array<NameRow<model::JobState>, 6> States = {{
    {model::JobState::Accepted, "accepted"},
    {model::JobState::Running, "running"},
    {model::JobState::Done, "done"},
    {model::JobState::Failed, "failed"},
    {model::JobState::NotRun, "not_run"},
    {model::JobState::Unknown, "unknown"},
}};

template<typename Rows, typename Value>
std::string_view findName(const Rows &rows, Value value)
{
    for (const auto &row : rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

template<typename Value, typename Rows>
std::optional<Value> findValue(const Rows &rows, std::string_view name)
{
    for (const auto &row : rows) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view kindName(model::JobKind kind)
{
    return findName(Kinds, kind);
}

std::string_view stateName(model::JobState state)
{
    return findName(States, state);
}

std::optional<model::JobKind> kindFromName(std::string_view name)
{
    return findValue<model::JobKind>(Kinds, name);
}

std::optional<model::JobState> stateFromName(std::string_view name)
{
    return findValue<model::JobState>(States, name);
}

} // namespace cranberryreel::upstream
