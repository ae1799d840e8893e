#pragma once

#include "entry/Route.h"

#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::entry
{

/// Finds the route of a request. Owned by the EntryServer; fixed once built, any thread.
class Router
{
public:
    struct Match {
        const Route *route = nullptr;
        std::string id;
    };

    void add(Route route);

    /// Throws base::Error(NotFound), or MethodNotAllowed where the path serves other methods.
    Match find(std::string_view method, std::string_view path) const;

private:
    std::vector<Route> routes;
};

} // namespace cranberryreel::entry
