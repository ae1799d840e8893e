#include "CaseRun.h"

#include "HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace cranberryreel::review
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{20};

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "cranberryreel-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

} // namespace

CaseRun::CaseRun(int count, char **arguments)
    : folder(makeFolder())
    , caseRecord(std::string(count > 1 ? arguments[1] : ".") + "/record.txt")
{
    const char *value = std::getenv("TROUBLE");
    this->trouble = value == nullptr || std::strcmp(value, "0") != 0;
    this->caseRecord.write(this->trouble ? "with the disruption" : "without the disruption");
}

CaseRun::~CaseRun()
{
    if (std::getenv("KEEP_FOLDER") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

Record &CaseRun::record()
{
    return this->caseRecord;
}

const std::string &CaseRun::workFolder() const
{
    return this->folder;
}

bool CaseRun::hasTrouble() const
{
    return this->trouble;
}

int CaseRun::couldNotRun(const std::string &why)
{
    this->caseRecord.write("the case could not run: " + why);
    return CouldNotRun;
}

int CaseRun::finish(bool broken)
{
    this->caseRecord.write(broken ? "result: the rule was broken" : "result: the rule held");
    return broken ? RuleBroken : RuleHeld;
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::string sampleConfiguration(int version)
{
    return R"({"Version":)" + std::to_string(version)
        + R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":1,)"
          R"("Service":"s","MaxAttempts":3,"SlackFactor":2.2}],"Services":[{"Name":"s","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,)"
          R"("AdmissionCheck":false,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

int submitJob(Record &record, const std::string &frontend, const std::string &id, const std::string &payload, const std::string &step)
{
    const std::string body = R"({"Spec":")" + payload + R"(","Steps":[{)" + step + "}]}";
    const int status = send({frontend, "POST", "/p/" + id, body, "h"}).status;
    record.write("client: POST job " + id + " " + body + " -> " + std::to_string(status));
    return status;
}

std::string stateOfJob(const std::string &frontend, const std::string &id)
{
    const HttpAnswer answer = send({frontend, "GET", "/p/" + id, "", "h"});
    const nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    return answer.status == 200 && json.is_object() ? json.value("State", std::string()) : std::to_string(answer.status);
}

int cancelJob(Record &record, const std::string &frontend, const std::string &id)
{
    const int status = send({frontend, "DELETE", "/p/" + id, "", "h"}).status;
    record.write("client: DELETE job " + id + " -> " + std::to_string(status));
    return status;
}

std::string jobId(int number)
{
    constexpr int Digits = 16;
    std::string digits(Digits + 1, '0');
    std::snprintf(digits.data(), digits.size(), "%016x", static_cast<unsigned int>(number));
    digits.resize(Digits);
    return digits;
}

} // namespace cranberryreel::review
