#include "config/ConfigurationReader.h"

#include "config/KeyHash.h"
#include "cranberryreel/base/Error.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cranberryreel;
using base::ResultCode;

namespace
{

std::string registerSample()
{
    return "[service quotes]\n"
           "[vm rey-w01]\nzone = rey\nrack = r1\ncpu_cores = 64\nmemory_gib = 128\naccelerators = 2\n"
           "[partner agents]\nkey_sha256 = "
        + config::keyHash("agents-key") + "\n[partner night-shift]\nkey_sha256 = " + config::keyHash("night-key") + "\noperator = yes\n";
}

const std::string RulesSample = "[scheduling]\nprofile = packing\ngive_back_within_ms = 30000\n"
                                "[group all]\nquota_cpu_cores = 48\n"
                                "[partner agents]\nweight = 2.5\nparent = all\nquota_memory_gib = 64\nmay_borrow = no\nmax_queued = 50\nservices = quotes\n";

struct BadText {
    bool inRegister;
    const char *piece; ///< Text to replace; if empty, the replacement is appended.
    const char *replacement;
    const char *expected; ///< Must be part of the error message.
};

std::ostream &operator<<(std::ostream &out, const BadText &bad)
{
    return out << bad.replacement;
}

const std::vector<BadText> BadTexts = {
    {true, "", "[rack r1]\n", "[rack r1]"},
    {true, "", "[vm Rey W]\nzone = rey\nrack = r1\ncpu_cores = 1\nmemory_gib = 1\n", "[vm Rey W]"},
    {true, "cpu_cores = 64", "cpu_cores = 64\ncpu_millis = 64000", "[vm rey-w01] cpu_cores"},
    {true, "cpu_cores = 64", "", "[vm rey-w01] cpu_cores"},
    {true, "cpu_cores = 64", "cpu_cores = many", "'many'"},
    {true, "memory_gib = 128", "memory_gib = -128", "-128 is not within"},
    {true, "memory_gib = 128", "memory_gib = 9223372036854775807", "not within"},
    {true, "rack = r1", "", "[vm rey-w01] rack"},
    {true, "accelerators = 2", "gpus = 2", "[vm rey-w01] gpus"},
    {true, "operator = yes", "operator = maybe", "[partner night-shift] operator"},
    {true, "key_sha256 = ", "key_sha256 = ABC", "[partner agents] key_sha256"},
    {true, "[service quotes]", "[service quotes]\nowner = x", "[service quotes] owner"},
    {false, "profile = packing", "profile = fast", "[scheduling] profile"},
    {false, "give_back_within_ms = 30000", "give_back_within_ms = 30s", "[scheduling] give_back_within_ms"},
    {false, "weight = 2.5", "weight = 0", "[partner agents] weight"},
    {false, "weight = 2.5", "weight = nan", "[partner agents] weight"},
    {false, "parent = all", "parent = some", "[partner agents] parent"},
    {false, "quota_cpu_cores = 48", "parent = all", "is circular"},
    {false, "services = quotes", "services = quotes, doses", "'doses'"},
    {false, "[partner agents]", "[partner strangers]", "[partner strangers]"},
    {false, "[group all]", "[group agents]", "[group agents]"},
    {false, "[group all]", "[group]", "[group]"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationReaderTest)

BOOST_AUTO_TEST_CASE(readsRegisterAndRules)
{
    const auto read = config::readConfiguration(7, registerSample(), RulesSample);
    BOOST_TEST(read->revision == 7U);
    BOOST_TEST((read->vms.at("rey-w01").capacity == model::Resources{64000, 131072, 2}));
    BOOST_TEST(read->partners.at("night-shift").isOperator);
    BOOST_TEST(read->profile == "packing");
    BOOST_TEST(read->rules.at("agents").weight == 2.5);
    BOOST_TEST((read->rules.at("agents").quota == model::Resources{0, 65536, 0}));
    BOOST_TEST(read->rules.at("all").quota.cpuMillis == 48000);
    BOOST_TEST(!read->rules.at("agents").mayBorrow);
}

BOOST_AUTO_TEST_CASE(bothTextsMayBeEmpty)
{
    BOOST_TEST(config::readConfiguration(0, "", "")->vms.empty());
}

BOOST_DATA_TEST_CASE(refusesWithSectionAndKey, boost::unit_test::data::make(BadTexts), bad)
{
    std::string registerText = registerSample();
    std::string rulesText = RulesSample;
    std::string &text = bad.inRegister ? registerText : rulesText;
    const std::string piece = bad.piece;
    text.replace(piece.empty() ? text.size() : text.find(piece), piece.size(), bad.replacement);
    try {
        config::readConfiguration(1, registerText, rulesText);
        BOOST_ERROR("no error for: " << bad.replacement);
    } catch (const base::Error &error) {
        BOOST_TEST((error.code() == (bad.inRegister ? ResultCode::RegisterInvalid : ResultCode::RulesInvalid)));
        BOOST_TEST(std::string(error.what()).find(bad.expected) != std::string::npos, error.what());
    }
}

BOOST_AUTO_TEST_CASE(aKeyBelongsToOnePartner)
{
    const std::string text = registerSample() + "[partner twin]\nkey_sha256 = " + config::keyHash("agents-key") + "\n";
    BOOST_CHECK_THROW(config::readConfiguration(1, text, ""), base::Error);
}

BOOST_AUTO_TEST_SUITE_END()
