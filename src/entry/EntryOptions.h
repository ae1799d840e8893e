#pragma once

#include "http/ServerOptions.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// Settings and data sources of the HTTP side of one entry VM, fixed at its start.
struct EntryOptions {
    http::ServerOptions server;
    std::string zone; ///< Availability zone of this VM.
    std::vector<std::string> zones; ///< All availability zones of the deployment, in any order; `zone` is added if missing.
    std::string operatorKeyHash; ///< SHA-256 of the operators' bearer key, lower-case hex; empty: only partners marked as operators have access.
    std::string upstreamKeyHash; ///< SHA-256 of the upstreams' bearer key, lower-case hex; empty: announcements need no key.
    std::chrono::milliseconds stopGrace{2000}; ///< New work is accepted for this long after beginStop(), until the load balancer has noticed.
    std::chrono::milliseconds maxWait{60000}; ///< Upper limit of wait_ms in GET /v1/submissions/ID?wait_ms=N.
    std::function<bool()> configurationUsable; ///< Whether the configuration known here is recent enough to authenticate callers; unset: always.
    std::function<bool()> ready; ///< Result of GET /readyz; unset: always ready.
    std::function<std::string()> metricsText; ///< Body of GET /metrics; unset: an empty page.
    std::function<std::string(const std::string &id)> spans; ///< Recent spans of a trace or a piece of work, as OTLP/JSON; unset or empty: NotFound.
};

} // namespace cranberryreel::entry
