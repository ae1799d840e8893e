#pragma once

#include "http/ServerOptions.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::entry
{

/// What the HTTP side of one entry VM is told at its start.
struct EntryOptions {
    http::ServerOptions server;
    std::string zone; ///< Own availability zone.
    std::vector<std::string> zones; ///< All availability zones of the deployment, in any order; the own one is added where it lacks.
    std::string operatorKeyHash; ///< SHA-256 of the operators' bearer key, lower-case hex; empty: only partners that are operators.
    std::string upstreamKeyHash; ///< The same for upstreams; empty: announcements need no key.
    std::chrono::milliseconds stopGrace{2000}; ///< After beginStop(), new work is still taken for so long, until the balancer has noticed.
    std::chrono::milliseconds longestWait{60000}; ///< Of GET /v1/submissions/ID?wait_ms=N.
    std::function<bool()> configured; ///< Whether the configuration in force here may be served on; absent: always.
    std::function<bool()> ready; ///< Asked by GET /readyz; absent: always ready.
    std::function<std::string()> metricsText; ///< Answers GET /metrics; absent: an empty page.
    std::function<std::string(const std::string &id)> spans; ///< OTLP/JSON of the recent spans of a trace or a piece of work; absent: NotFound.
};

} // namespace cranberryreel::entry
