#include "http/Client.h"
#include "support/Eventually.h"
#include "support/PlatformCell.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

using namespace cranberryreel;

namespace
{

constexpr const char *KeyOfA = "0keyofteamaxxxxxxxxx";
constexpr const char *KeyOfB = "0keyofteambxxxxxxxxx";
constexpr const char *UnknownKey = "0keyofnoteamxxxxxxxx";
constexpr const char *Job = "/p/0123456789abcdef";

/// The cell's configuration with two teams; the queue at "/l/" is open.
std::string configurationWithTeams(int version)
{
    nlohmann::json json = nlohmann::json::parse(support::PlatformCell::configuration(version));
    json["Routes"][1]["Public"] = true;
    json["Tenants"] = {{{"Name", "a"}, {"ApiKeys", {KeyOfA}}, {"Weight", 5}, {"MaxCount", {{"Cpu", 1000}}}}, {{"Name", "b"}, {"ApiKeys", {KeyOfB}}}};
    return json.dump();
}

http::ClientResponse call(http::Client &client, const std::string &address, const std::string &method, const std::string &target, const std::string &key)
{
    http::ClientRequest request;
    request.method = method;
    request.host = address;
    request.target = target;
    request.body = method == "POST" ? R"({"Spec":"x","Steps":[{"Count":1,"Cpu":1000,"MemRequestMb":16,"EstimateMs":100}]})" : "";
    request.limit = std::chrono::seconds(2);
    request.headers.emplace_back("Host", "h");
    if (!key.empty()) {
        request.headers.emplace_back("x-api-key", key); // Header names are compared without regard to case.
    }
    return client.callAndWait(std::move(request));
}

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamsProcessTest)

/// Failure: the server did not pass the key's header on, so that every key was unknown; or a key stood in a VM's log or metrics.
BOOST_AUTO_TEST_CASE(keysDecideCallsAndAppearNowhere)
{
    support::PlatformCell cell;
    const std::string entry = cell.entryVms().front();
    http::Client client;
    const auto status = [&](const std::string &method, const std::string &target, const std::string &key) {
        return call(client, cell.callers(entry), method, target, key).status;
    };
    BOOST_REQUIRE(support::eventually([&] { return cell.get(cell.readiness(entry), "/api/ready") == 200; }));
    BOOST_REQUIRE(support::eventually([&] { return cell.put(cell.diskVms()[1], configurationWithTeams(5)) == 200; }));
    BOOST_TEST(status("POST", Job, "") == 401);
    BOOST_TEST(status("POST", Job, UnknownKey) == 401);
    BOOST_TEST(status("POST", Job, KeyOfA) == 200);
    BOOST_TEST(status("GET", Job, KeyOfA) == 200);
    BOOST_TEST(status("GET", Job, KeyOfB) == 403);
    BOOST_TEST(status("DELETE", Job, KeyOfB) == 403);
    BOOST_TEST(status("GET", "/p/", "") == 401);
    BOOST_TEST(status("GET", "/p/", KeyOfB) == 200);
    BOOST_TEST(status("GET", "/l/", "") == 200);
    nlohmann::json shared = nlohmann::json::parse(configurationWithTeams(6));
    shared["Tenants"][1]["ApiKeys"] = {KeyOfA};
    BOOST_TEST(cell.put(cell.diskVms()[1], shared.dump()) == 400);
    std::vector<std::string> all = cell.diskVms();
    all.push_back(entry);
    std::string written;
    const auto readAll = [&] {
        written.clear();
        for (const std::string &vm : all) {
            written += contentOf(cell.logOf(vm)) + call(client, cell.metrics(vm), "GET", "/metrics", "").body;
        }
        return written.find("event=rules_refused") != std::string::npos && written.find("event=call_rejected") != std::string::npos
            && written.find("cranberryreel_cell_team_rejected_total") != std::string::npos;
    };
    BOOST_TEST(support::eventually(readAll)); // Logs are copied to their files by another process.
    for (const char *key : {KeyOfA, KeyOfB, UnknownKey}) {
        BOOST_TEST((written.find(key) == std::string::npos), key);
    }
}

BOOST_AUTO_TEST_SUITE_END()
