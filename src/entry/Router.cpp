#include "entry/Router.h"

#include "cranberryreel/base/Error.h"

#include <optional>

namespace cranberryreel::entry
{

namespace
{

constexpr std::string_view IdSegment = "ID";

std::string_view nextSegment(std::string_view &path)
{
    const std::size_t end = path.find('/');
    const std::string_view segment = path.substr(0, end);
    path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
    return segment;
}

/// If the path matches, the segment that matches ID, which is empty if the pattern has no ID; nothing otherwise.
std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path)
{
    std::string_view id;
    while (!pattern.empty() && !path.empty()) {
        const std::string_view expected = nextSegment(pattern);
        const std::string_view actual = nextSegment(path);
        if (expected == IdSegment && !actual.empty()) {
            id = actual;
        } else if (expected != actual) {
            return std::nullopt;
        }
    }
    return pattern.empty() && path.empty() ? std::optional<std::string_view>(id) : std::nullopt;
}

} // namespace

void Router::add(Route route)
{
    const std::string label = "route=\"" + route.method + ' ' + route.path + '"';
    route.durations = &observe::durations("cranberryreel_entry_request_seconds", "From a whole request received to its answer.", label);
    this->routes.push_back(std::move(route));
}

Router::Match Router::find(std::string_view method, std::string_view path) const
{
    bool pathExists = false;
    for (const Route &route : this->routes) {
        if (const auto id = matchPath(route.path, path)) {
            if (route.method == method) {
                return {&route, std::string(*id)};
            }
            pathExists = true;
        }
    }
    if (pathExists) {
        throw base::Error(base::ResultCode::MethodNotAllowed, "The path does not support this method; docs/API.md lists the supported ones.");
    }
    throw base::Error(base::ResultCode::NotFound, "No such path; docs/API.md lists all paths.");
}

} // namespace cranberryreel::entry
