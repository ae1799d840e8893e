#include "Workload.h"

#include <fmt/format.h>

namespace cranberryreel::review
{

std::string configuration(int version, const std::string &host, const std::string &service, const std::vector<Route> &routes)
{
    std::string list;
    for (const Route &route : routes) {
        const std::string advice =
            route.adviceMs == 0 ? "" : fmt::format(R"(,"Recommendation":{{"DecisionMs":{}.0,"PerWorkerMs":0.5,"ValidMs":2000}})", route.adviceMs);
        list += fmt::format(R"({}{{"Name":"{}","Host":"{}","PathPrefix":"{}","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1200,)"
                            R"("Priority":{},"Service":"{}","MaxAttempts":{},"SlackFactor":2.2{}}})",
                            list.empty() ? "" : ",",
                            route.name,
                            host,
                            route.prefix,
                            route.priority,
                            service,
                            route.maxAttempts,
                            advice);
    }
    return fmt::format(R"({{"Version":{},"Routes":[{}],"Services":[{{"Name":"{}","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,)"
                       R"("AdmissionCheck":false,"Standby":false}}],)"
                       R"("Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}})",
                       version,
                       list,
                       service);
}

std::string Job::body() const
{
    return fmt::format(R"({{"Spec":"{}","Steps":[{{"Count":{},"Cpu":{},"MemRequestMb":1000,"EstimateMs":{}{}{}}}]}})",
                       this->spec,
                       this->tasks,
                       this->cpuMillis,
                       this->estimateMs,
                       this->more.empty() ? "" : ",",
                       this->more);
}

} // namespace cranberryreel::review
