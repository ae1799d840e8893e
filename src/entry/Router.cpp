#include "entry/Router.h"

#include "cranberryreel/base/Error.h"

#include <optional>

namespace cranberryreel::entry
{

namespace
{

constexpr std::string_view IdSegment = "ID";

std::string_view takeSegment(std::string_view &path)
{
    const std::size_t end = path.find('/');
    const std::string_view segment = path.substr(0, end);
    path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
    return segment;
}

/// What stands for ID where the path matches, empty where the pattern has none.
std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path)
{
    std::string_view id;
    while (!pattern.empty() && !path.empty()) {
        const std::string_view wanted = takeSegment(pattern);
        const std::string_view given = takeSegment(path);
        if (wanted == IdSegment && !given.empty()) {
            id = given;
        } else if (wanted != given) {
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
    bool known = false;
    for (const Route &route : this->routes) {
        if (const auto id = matchPath(route.path, path)) {
            if (route.method == method) {
                return {&route, std::string(*id)};
            }
            known = true;
        }
    }
    if (known) {
        throw base::Error(base::ResultCode::MethodNotAllowed, "This path does not know the method; docs/API.md lists those it knows.");
    }
    throw base::Error(base::ResultCode::NotFound, "No such path; docs/API.md lists them all.");
}

} // namespace cranberryreel::entry
