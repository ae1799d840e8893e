#include "cranberryreel/base/Error.h"
#include "entry/SubmissionCodec.h"
#include "http/JsonReader.h"
#include "upstream/ReportCodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using cranberryreel::base::Error;
using namespace cranberryreel;

namespace
{

constexpr int TextsPerRun = 20;

const std::string ValidRequest = R"({"name":"quote","service":"tides","cpu_millis":500,"memory_mib":256,"accelerators":1,"deadline_ms":2000,)"
                                 R"("run_time_ms":20,"priority":3,"repeatable":false,"key":"z1:k","payload":"{\"echo\":\"\u00e6\"}"})";
const std::string ValidJob = R"({"kind":"batch","name":"sweep","tasks":20,"cpu_millis":1000,"memory_mib":512,"payload":""})";
const std::string ValidReport = R"({"id":"up-1","vm":"vm-1","zone":"z1","boot":"b","address":"127.0.0.1:1","service":"","slots":8,"leaving":false,"epoch":3,)"
                                R"("tasks":[{"task_id":"z1-00.0","attempt":1,"state":"running","cpu_millis":1,"memory_mib":2,"accelerators":0,)"
                                R"("reserved_cpu_millis":3,"reserved_memory_mib":4,"reserved_accelerators":1}]})";

/// Checks that every codec either accepts the text or throws an error code for invalid caller input (2001 to 2005).
void checkAllCodecs(const std::string &text)
{
    const auto attempt = [](auto read) {
        try {
            read();
        } catch (const Error &error) {
            const int code = static_cast<int>(error.code());
            RC_ASSERT(code >= 2001 && code <= 2005);
        }
    };
    attempt([&text] { entry::requestFromJson(text); });
    attempt([&text] { entry::jobFromJson(text); });
    attempt([&text] {
        const nlohmann::json json = http::parseJson(text);
        upstream::upstreamReportFrom(http::JsonReader(json), upstream::Strictness::Strict);
    });
    attempt([&text] {
        const nlohmann::json json = http::parseJson(text);
        upstream::upstreamReportFrom(http::JsonReader(json), upstream::Strictness::Lenient);
    });
}

std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 8);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, *rc::gen::element<std::string>("-", "9999999999999999999999", "null", "{", "[", "\"", "1e308", "\\u0000", ",\"x\":1", "\xf0"));
            break;
        default:
            text.insert(at, text.substr(at, length));
            break;
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecFuzzTest)

BOOST_AUTO_TEST_CASE(acceptsValidTexts)
{
    BOOST_TEST(entry::requestFromJson(ValidRequest).payload == "{\"echo\":\"\u00e6\"}");
    BOOST_TEST(entry::jobFromJson(ValidJob).tasks == 20U);
    const nlohmann::json json = http::parseJson(ValidReport);
    const model::UpstreamReport report = upstream::upstreamReportFrom(http::JsonReader(json), upstream::Strictness::Strict);
    BOOST_TEST((upstream::upstreamReportToJson(report) == json));
}

BOOST_AUTO_TEST_CASE(codecsSurviveMutatedTexts)
{
    BOOST_TEST(rc::check("mutated texts", [] {
        for (int i = 0; i < TextsPerRun; ++i) {
            checkAllCodecs(mutated(*rc::gen::element(ValidRequest, ValidJob, ValidReport)));
        }
    }));
}

BOOST_AUTO_TEST_CASE(codecsSurviveRandomTexts)
{
    BOOST_TEST(rc::check("random texts", [](const std::string &text) { checkAllCodecs(text); }));
}

BOOST_AUTO_TEST_SUITE_END()
