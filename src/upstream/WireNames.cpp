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
std::string_view nameIn(const Rows &rows, Value value)
{
    for (const auto &row : rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

template<typename Value, typename Rows>
std::optional<Value> valueIn(const Rows &rows, std::string_view name)
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
    return nameIn(Kinds, kind);
}

std::string_view stateName(model::JobState state)
{
    return nameIn(States, state);
}

std::optional<model::JobKind> kindNamed(std::string_view name)
{
    return valueIn<model::JobKind>(Kinds, name);
}

std::optional<model::JobState> stateNamed(std::string_view name)
{
    return valueIn<model::JobState>(States, name);
}

} // namespace cranberryreel::upstream
