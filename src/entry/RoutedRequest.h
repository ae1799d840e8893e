#pragma once

#include "entry/Identity.h"
#include "http/Request.h"
#include "http/Response.h"

#include <memory>
#include <string>

namespace cranberryreel::entry
{

/// An authenticated request as the handler of its route receives it. A value that handlers copy into callbacks; the responder may be used on any thread.
struct RoutedRequest {
    std::shared_ptr<const http::Request> request;
    std::string id; ///< The path segment that matched ID in the route's path; empty if the path has no ID.
    Identity identity;
    http::Responder respond;
};

} // namespace cranberryreel::entry
