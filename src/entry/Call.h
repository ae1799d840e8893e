#pragma once

#include "entry/Identity.h"
#include "http/Request.h"
#include "http/Response.h"

#include <memory>
#include <string>

namespace cranberryreel::entry
{

/// One authenticated request on its way to the handler of its route.
struct Call {
    std::shared_ptr<const http::Request> request;
    std::string id; ///< What stood for ID in the route's path; empty for routes without.
    Identity identity;
    http::Responder respond;
};

} // namespace cranberryreel::entry
