#pragma once

#include "entry/Route.h"

#include <string>
#include <string_view>
#include <vector>

namespace cranberryreel::entry
{

/// Finds the route of a request. Owned by the EntryServer. All routes are added before the server starts; find() may be called on any thread.
class Router
{
public:
    struct Match {
        const Route *route = nullptr;
        std::string id;
    };

    void add(Route route);

    /// Throws base::Error: MethodNotAllowed if only other methods have this path, NotFound if none has.
    Match find(std::string_view method, std::string_view path) const;

private:
    std::vector<Route> routes;
};

} // namespace cranberryreel::entry
