#include "platform/RulesCodec.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <optional>

using namespace cranberryreel;
using base::ResultCode;

namespace
{

constexpr const char *Key = "gkcuyj8pjbvk9m68k7b2";
constexpr const char *RulesBody = R"({"Version":4,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","TimeoutMs":2000,"Service":"s"},
    {"Name":"b","Host":"h","PathPrefix":"/b/","TimeoutMs":1,"Service":"s","Public":true}],"Services":[{"Name":"s"}],
    "Tenants":[{"Name":"kaje80","ApiKeys":["gkcuyj8pjbvk9m68k7b2","ex5wa5xwyhks8nbkxxmi"],"Priority":1,"Weight":22,
        "MaxCount":{"Cpu":3819706,"MemRequestMb":5451382,"Gpu":0}},{"Name":"small","ApiKeys":["one"]}]})";

std::string edited(const std::string &pointer, const nlohmann::json &value)
{
    nlohmann::json json = nlohmann::json::parse(RulesBody);
    json[nlohmann::json::json_pointer(pointer)] = value;
    return json.dump();
}

/// The error with which the rules are rejected; nothing if they are accepted.
std::optional<base::Error> rejection(const std::string &body)
{
    try {
        platform::decodeRules(body);
        return std::nullopt;
    } catch (const base::Error &error) {
        return error;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamsTest)

BOOST_AUTO_TEST_CASE(decodesTeamsAndOpenQueues)
{
    const cell::wire::RulesT rules = platform::decodeRules(RulesBody);
    BOOST_TEST(rules.requires_keys);
    BOOST_TEST((!rules.queues[0]->open && rules.queues[1]->open));
    BOOST_REQUIRE(rules.teams.size() == 2U);
    const cell::wire::TeamT &team = *rules.teams[0];
    BOOST_TEST((team.name == "kaje80" && team.keys.size() == 2 && team.keys[0] == Key && team.weight == 22));
    BOOST_TEST((team.cpu_millis == 3819706 && team.memory_mib == 5451382 && team.accelerators == 0));
    const cell::wire::TeamT &small = *rules.teams[1];
    BOOST_TEST((small.weight == 0 && small.cpu_millis == 0 && small.memory_mib == 0 && small.accelerators == 0));
    BOOST_TEST(rules.document == RulesBody);
}

/// Failure: configurations of earlier deployments required keys, or an empty list of teams did not.
BOOST_AUTO_TEST_CASE(keysAreRequiredOnlyWhereThereIsAListOfTeams)
{
    nlohmann::json json = nlohmann::json::parse(RulesBody);
    json.erase("Tenants");
    BOOST_TEST(!platform::decodeRules(json.dump()).requires_keys);
    BOOST_TEST(platform::decodeRules(edited("/Tenants", nlohmann::json::array())).requires_keys);
    BOOST_TEST(!platform::decodeRules(edited("/Tenants", nullptr)).requires_keys);
}

/// Failure: rules that leave open whose a key is, or what a limit is, took effect.
BOOST_AUTO_TEST_CASE(rejectsInvalidTeamsWithoutDisclosingKeys)
{
    const std::vector<std::pair<std::string, std::string>> bodies = {
        {edited("/Tenants/1/ApiKeys/0", Key), "ApiKeys"},
        {edited("/Tenants/0/ApiKeys/1", ""), "ApiKeys"},
        {edited("/Tenants/0/ApiKeys/1", 7), "ApiKeys"},
        {edited("/Tenants/0/ApiKeys", Key), "ApiKeys"},
        {edited("/Tenants/1/Name", ""), "Name"},
        {edited("/Tenants/1/Name", nullptr), "Name"},
        {edited("/Tenants/1/Name", "kaje80"), "Name"},
        {edited("/Tenants/0/Weight", -1), "Weight"},
        {edited("/Tenants/0/Weight", "22"), "Weight"},
        {edited("/Tenants/0/MaxCount/Cpu", -1), "Cpu"},
        {edited("/Tenants/0/MaxCount/MemRequestMb", "many"), "MemRequestMb"},
        {edited("/Tenants/0/MaxCount/Gpu", true), "Gpu"},
        {edited("/Tenants/0/MaxCount", 5), "MaxCount"},
        {edited("/Tenants", 5), "Tenants"},
        {edited("/Tenants/0", Key), "Tenants"},
    };
    for (const auto &[body, field] : bodies) {
        const std::optional<base::Error> error = rejection(body);
        BOOST_REQUIRE_MESSAGE(error.has_value(), body);
        BOOST_TEST((error->code() == ResultCode::RulesInvalid), body);
        const std::string reason = error->what();
        BOOST_TEST((reason.find(field) != std::string::npos), reason);
        BOOST_TEST((reason.find(Key) == std::string::npos), reason);
    }
    BOOST_TEST(rejection(edited("/Tenants/1/Name", "kaje80"))->what() == std::string("more than one team has the name 'kaje80' (field 'Name')"));
    BOOST_TEST(rejection(edited("/Tenants/1/ApiKeys/0", Key))->what() == std::string("teams 'kaje80' and 'small' share a key (field 'ApiKeys')"));
    BOOST_TEST(rejection(edited("/Routes/0/Public", "yes")).has_value());
}

/// A key that is listed twice in its own team leaves nothing open, and limits may be written as decimals.
BOOST_AUTO_TEST_CASE(acceptsHarmlessVariants)
{
    BOOST_TEST(!rejection(edited("/Tenants/0/ApiKeys/1", Key)).has_value());
    BOOST_TEST(platform::decodeRules(edited("/Tenants/0/MaxCount/Cpu", 0.5)).teams[0]->cpu_millis == 1U);
    BOOST_TEST(platform::decodeRules(edited("/Tenants/0/Weight", 0.5)).teams[0]->weight == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
