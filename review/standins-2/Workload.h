#pragma once

#include <string>
#include <vector>

namespace cranberryreel::review
{

/// A queue of the configuration.
struct Route {
    std::string name;
    std::string prefix;
    int priority = 0;
    int maxAttempts = 3;
    int adviceMs = 0; ///< What a call for advice takes; 0 for a queue without advice.
};

/// A configuration of one service with these queues on one host.
std::string configuration(int version, const std::string &host, const std::string &service, const std::vector<Route> &routes);

/// A job of one step.
struct Job {
    std::string spec; ///< See Runner.
    int tasks = 1;
    int cpuMillis = 1000;
    int estimateMs = 1000;
    std::string more; ///< Further fields of the step, such as R"("Gang":true)".

    std::string body() const;
};

} // namespace cranberryreel::review
