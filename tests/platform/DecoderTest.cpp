#include "platform/AnnouncementCodec.h"
#include "platform/HttpAdviceCalls.h"
#include "platform/HttpUpstreamCalls.h"
#include "platform/JobCodec.h"
#include "platform/RulesCodec.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

using namespace cranberryreel;
using base::Error;
using base::ResultCode;
using cell::UpstreamCallStatus;

namespace
{

constexpr const char *JobBody = R"({"Spec":"work","Steps":[{"Count":3,"Cpu":500,"MemRequestMb":200,"EstimateMs":800,"Affinity":"r2-1","Image":"one"},
    {"Count":12,"Cpu":1500,"MemRequestMb":900,"After":[0],"Checkpointing":true,"Gang":true,"RackLocal":true,"Requirements":"b","AntiAffinity":2},
    {"Count":1,"LongRunning":true,"TargetMs":80,"MaxUnavailable":1,"Speculative":true,"FillCount":1,"Gpu":2}],
    "RepeatCount":3,"StartAtMs":1700000000000,"IntervalMs":500})";

constexpr const char *RulesBody =
    R"({"Version":4,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":300,
    "Priority":1,"Service":"s","MaxAttempts":3,"SlackFactor":1.5,"Recommendation":{"DecisionMs":20.5,"PerWorkerMs":0.25,"ValidMs":1500}},
    {"Name":"b","Host":"h","PathPrefix":"/b/","TimeoutMs":1,"Service":"s"}],"Services":[{"Name":"s","AdmissionCheck":true}],
    "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Weight":2.5,"MaxCount":{"Cpu":100,"Gpu":0}}]})";

constexpr const char *AnnouncementBody = R"({"Service":"s","Address":"10.9.8.7:800","Zone":"z","Version":"v2","Slots":4,"State":"draining","ColdRemainingMs":0,
    "Capacity":{"Cpu":32000,"MemRequestMb":64000,"Gpu":1},"Labels":["b","r1-1"],"ClockMs":5500,"Sequence":9,"born":1700000000123})";

nlohmann::json edited(const char *body, const std::string &pointer, const nlohmann::json &value)
{
    nlohmann::json json = nlohmann::json::parse(body);
    json[nlohmann::json::json_pointer(pointer)] = value;
    return json;
}

nlohmann::json without(const char *body, const std::string &field)
{
    nlohmann::json json = nlohmann::json::parse(body);
    json.erase(field);
    return json;
}

http::ClientResponse responseWith(long status, const std::string &body)
{
    http::ClientResponse response;
    response.status = status;
    response.body = body;
    return response;
}

template<typename Decode>
bool throwsError(Decode decode)
{
    try {
        decode();
        return false;
    } catch (const Error &) {
        return true;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderTest)

BOOST_AUTO_TEST_CASE(decodesEveryJobField)
{
    const cell::wire::JobSpecT job = platform::decodeJob(JobBody);
    BOOST_TEST(job.payload == "work");
    BOOST_REQUIRE(job.steps.size() == 3U);
    BOOST_TEST(job.steps[0]->tasks == 3U);
    BOOST_TEST(job.steps[0]->cpu_millis == 500U);
    BOOST_TEST(job.steps[0]->memory_mib == 200U);
    BOOST_TEST(job.steps[0]->estimate_ms == 800U);
    BOOST_TEST(job.steps[0]->data_rack == "r2-1");
    BOOST_TEST(job.steps[0]->image == "one");
    BOOST_TEST(job.steps[1]->after == std::vector<std::uint32_t>{0}, boost::test_tools::per_element());
    BOOST_TEST((job.steps[1]->saves_progress && job.steps[1]->gang && job.steps[1]->one_rack));
    BOOST_TEST(job.steps[1]->label == "b");
    BOOST_TEST(job.steps[1]->per_upstream == 2U);
    BOOST_TEST((job.steps[2]->lasting && job.steps[2]->copies && job.steps[2]->filler));
    BOOST_TEST(job.steps[2]->tail_target_ms == 80U);
    BOOST_TEST(job.steps[2]->max_away == 1U);
    BOOST_TEST(job.steps[2]->accelerators == 2U);
    BOOST_TEST(job.times == 3U);
    BOOST_TEST(job.first_due_ms == 1700000000000);
    BOOST_TEST(job.every_ms == 500);
}

BOOST_AUTO_TEST_CASE(rejectsInvalidJobs)
{
    const std::vector<std::string> bad = {
        "",
        "[]",
        "{\"Spec\":\"cut",
        edited(JobBody, "/Steps", nlohmann::json::array()).dump(),
        edited(JobBody, "/Steps/0/Count", 0).dump(),
        edited(JobBody, "/Steps/0/Count", "3").dump(),
        edited(JobBody, "/Steps/0/Cpu", -1).dump(),
        edited(JobBody, "/Steps/0/Cpu", 0.5).dump(),
        edited(JobBody, "/Steps/1/After/0", 1).dump(),
        edited(JobBody, "/Steps/1/After/0", -1).dump(),
        edited(JobBody, "/Steps/1/Gang", 1).dump(),
        edited(JobBody, "/Spec", std::string(5000, 'x')).dump(),
        edited(JobBody, "/RepeatCount", 1e12).dump(),
    };
    for (const std::string &body : bad) {
        BOOST_TEST(throwsError([&] { platform::decodeJob(body); }), body.substr(0, 80));
    }
}

BOOST_AUTO_TEST_CASE(decodesEveryRulesField)
{
    const cell::wire::RulesT rules = platform::decodeRules(RulesBody);
    BOOST_TEST(rules.version == 4U);
    BOOST_REQUIRE(rules.queues.size() == 2U);
    const cell::wire::QueueT &queue = *rules.queues[0];
    BOOST_TEST((queue.name == "a" && queue.host == "h" && queue.path_prefix == "/a/" && queue.service == "s"));
    BOOST_TEST(queue.priority == 1);
    BOOST_TEST(queue.max_failures == 3U);
    BOOST_TEST(queue.slack == 1.5);
    BOOST_TEST(queue.target_latency_ms == 300U);
    BOOST_REQUIRE(queue.advice);
    BOOST_TEST(queue.advice->decision_us == 20500U);
    BOOST_TEST(queue.advice->per_upstream_us == 250U);
    BOOST_TEST(queue.advice->valid_ms == 1500U);
    BOOST_TEST(!rules.queues[1]->advice);
    BOOST_TEST(rules.services[0]->guards_room);
    BOOST_TEST(rules.document == RulesBody);
}

BOOST_AUTO_TEST_CASE(rejectsInvalidRules)
{
    const std::string whole = RulesBody;
    const std::vector<std::string> bad = {
        whole.substr(0, whole.size() / 2),
        without(RulesBody, "Version").dump(),
        without(RulesBody, "Services").dump(),
        without(RulesBody, "Routes").dump(),
        edited(RulesBody, "/Routes/0/Service", "unknown").dump(),
        edited(RulesBody, "/Routes/1/PathPrefix", "/a/").dump(),
        edited(RulesBody, "/Routes/0/TimeoutMs", 0).dump(),
        edited(RulesBody, "/Routes/0/TimeoutMs", "2000").dump(),
        edited(RulesBody, "/Version", "4").dump(),
        edited(RulesBody, "/Version", 0).dump(),
        edited(RulesBody, "/Routes", 7).dump(),
    };
    for (const std::string &body : bad) {
        BOOST_TEST(throwsError([&] { platform::decodeRules(body); }), body.substr(0, 80));
    }
    nlohmann::json noTimeout = nlohmann::json::parse(RulesBody);
    noTimeout["Routes"][0].erase("TimeoutMs");
    BOOST_TEST(throwsError([&] { platform::decodeRules(noTimeout.dump()); }));
}

BOOST_AUTO_TEST_CASE(decodesEveryAnnouncementField)
{
    const cell::wire::AnnouncementT announcement = platform::decodeAnnouncement("i-1", AnnouncementBody);
    BOOST_TEST((announcement.upstream->id == "i-1" && announcement.upstream->service == "s" && announcement.upstream->address == "10.9.8.7:800"
                && announcement.upstream->zone == "z"));
    BOOST_TEST(announcement.upstream->draining);
    BOOST_TEST(announcement.upstream->cpu_millis == 32000U);
    BOOST_TEST(announcement.upstream->memory_mib == 64000U);
    BOOST_TEST(announcement.upstream->accelerators == 1U);
    BOOST_TEST(announcement.upstream->labels.back() == "r1-1");
    BOOST_TEST(announcement.upstream->born_ms == 1700000000123);
    BOOST_TEST(announcement.sequence == 9U);
    BOOST_TEST(announcement.clock_ms == 5500);
}

BOOST_AUTO_TEST_CASE(rejectsIncompleteAnnouncements)
{
    for (const char *field : {"Service", "Address", "Zone", "State", "Capacity", "Sequence", "born"}) {
        BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", without(AnnouncementBody, field).dump()); }), field);
        BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", edited(AnnouncementBody, std::string("/") + field, nullptr).dump()); }), field);
    }
    BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", edited(AnnouncementBody, "/State", "asleep").dump()); }));
    BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", edited(AnnouncementBody, "/born", 12.5).dump()); }));
    BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", edited(AnnouncementBody, "/Address", "nowhere").dump()); }));
    BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", edited(AnnouncementBody, "/Capacity/Cpu", "many").dump()); }));
    BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i-1", "\x80\xff{"); }));
}

BOOST_AUTO_TEST_CASE(mapsUpstreamResponsesToAnswers)
{
    const auto meaning = [](long status, const std::string &body) { return platform::decodeCallResponse(responseWith(status, body)).status; };
    BOOST_TEST((meaning(200, R"({"ClockMs":5})") == UpstreamCallStatus::Done));
    BOOST_TEST((meaning(409, R"({"ClockMs":5,"Reason":"fence"})") == UpstreamCallStatus::Fenced));
    BOOST_TEST((meaning(409, R"({"ClockMs":5,"Reason":"old"})") == UpstreamCallStatus::Superseded));
    BOOST_TEST((meaning(409, R"({"ClockMs":5,"Reason":"late"})") == UpstreamCallStatus::TooLate));
    BOOST_TEST((meaning(409, R"({"ClockMs":5,"Reason":"room"})") == UpstreamCallStatus::InsufficientCapacity));
    BOOST_TEST((meaning(409, R"({"ClockMs":5,"Reason":"ticket"})") == UpstreamCallStatus::TicketRefused));
    BOOST_TEST((meaning(409, R"({"Reason":"whim"})") == UpstreamCallStatus::Unknown));
    BOOST_TEST((meaning(400, "") == UpstreamCallStatus::Invalid));
    BOOST_TEST((meaning(421, "") == UpstreamCallStatus::OtherUpstream));
    BOOST_TEST((meaning(429, "") == UpstreamCallStatus::Unhealthy));
    BOOST_TEST((meaning(503, "") == UpstreamCallStatus::Unhealthy));
    BOOST_TEST((meaning(500, "") == UpstreamCallStatus::Unknown));
    BOOST_TEST((platform::decodeCallResponse(responseWith(200, R"({"ClockMs":5})")).clock == std::chrono::milliseconds(5)));
    http::ClientResponse lost;
    lost.outcome = http::CallOutcome::TimedOut;
    BOOST_TEST((platform::decodeCallResponse(lost).status == UpstreamCallStatus::Unknown));
    lost.sent = false;
    BOOST_TEST((platform::decodeCallResponse(lost).status == UpstreamCallStatus::NotSent));
    lost.outcome = http::CallOutcome::Unreachable;
    BOOST_TEST((platform::decodeCallResponse(lost).status == UpstreamCallStatus::NotSent));
    lost.refused = true;
    BOOST_TEST((platform::decodeCallResponse(lost).status == UpstreamCallStatus::Absent));
}

BOOST_AUTO_TEST_CASE(rejectsPartlyInvalidRunLists)
{
    const std::string body =
        R"({"ClockMs":70,"born":12,"Running":[["j.0.1.2",3,"half",41,250]],"Finished":[[58,"j.0.0.1",1,"done",""],[59,"j.0.0.2",2,"broken","x"]]})";
    const cell::RenewResult read = platform::decodeRenewResponse(responseWith(200, body));
    BOOST_TEST((read.callResult.status == UpstreamCallStatus::Done));
    BOOST_TEST(read.bornMs == 12);
    BOOST_REQUIRE(read.running.size() == 1U);
    BOOST_TEST((read.running[0].run.task == "j.0.1.2" && read.running[0].run.attempt == 3 && read.running[0].checkpoint == "half"));
    BOOST_TEST((read.running[0].percent == 41 && read.running[0].measurement == 250));
    BOOST_REQUIRE(read.ended.size() == 2U);
    BOOST_TEST((read.ended[1].number == 59 && read.ended[1].kind == cell::RunEndKind::Broken && read.ended[1].checkpoint == "x"));
    const std::vector<std::string> bad = {R"({"ClockMs":70,"Running":[["j.0.1.2","3","half",41]]})",
                                          R"({"ClockMs":70,"Running":[["j.0.1.2",3]]})",
                                          R"({"ClockMs":70,"Finished":[[58,"j.0.0.1",1,"vanished",""]]})",
                                          R"({"ClockMs":70,"Finished":{}})",
                                          R"({"Running":[]})",
                                          R"({"ClockMs":70,"Running":[)"};
    for (const std::string &each : bad) {
        BOOST_TEST((platform::decodeRenewResponse(responseWith(200, each)).callResult.status == UpstreamCallStatus::Unknown), each);
    }
}

/// Failure: numbers too large for their field were cut off or undefined, so that a list named runs, ends and clocks that do not exist.
BOOST_AUTO_TEST_CASE(rejectsNumbersThatAreTooLarge)
{
    const std::vector<std::string> bad = {R"({"ClockMs":70,"Running":[["j.0.1.2",4294967297,"",41]]})",
                                          R"({"ClockMs":70,"Running":[["j.0.1.2",-1,"",41]]})",
                                          R"({"ClockMs":70,"Finished":[[18446744073709551615,"j.0.0.1",1,"done",""]]})",
                                          R"({"ClockMs":70,"Finished":[[58,"j.0.0.1",4294967297,"done",""]]})"};
    for (const std::string &each : bad) {
        BOOST_TEST((platform::decodeRenewResponse(responseWith(200, each)).callResult.status == UpstreamCallStatus::Unknown), each);
    }
    const cell::RenewResult read = platform::decodeRenewResponse(responseWith(200, R"({"ClockMs":70,"Running":[["j.0.1.2",1,"",1e300,-1e300]]})"));
    BOOST_REQUIRE(read.running.size() == 1U);
    BOOST_TEST((read.running[0].percent == 100 && read.running[0].measurement == 0));
    BOOST_TEST(!platform::decodeCallResponse(responseWith(200, R"({"ClockMs":9223372036854775807})")).clock.has_value());
    for (const char *field : {"/Address", "/ClockMs"}) {
        const nlohmann::json value = std::string(field) == "/Address" ? nlohmann::json("10.9.8.7:0") : nlohmann::json(9223372036854775807);
        BOOST_TEST(throwsError([&] { platform::decodeAnnouncement("i", edited(AnnouncementBody, field, value).dump()); }), field);
    }
}

BOOST_AUTO_TEST_CASE(rejectsPartlyInvalidAdvice)
{
    const cell::AdviceResult good = platform::decodeAdviceResponse(responseWith(200, R"({"Allowed":[["i-1","t1"],["i-2","t2"]],"ValidMs":900})"));
    BOOST_TEST(good.answered);
    BOOST_TEST(good.tickets.size() == 2U);
    BOOST_TEST(!platform::decodeAdviceResponse(responseWith(200, R"({"Allowed":[["i-1"]]})")).answered);
    BOOST_TEST(!platform::decodeAdviceResponse(responseWith(200, "soon")).answered);
    BOOST_TEST(platform::decodeAdviceResponse(responseWith(429, "")).busy);
}

/// Decoders must accept or refuse any bytes without undefined behaviour; run this test under AddressSanitizer as well.
BOOST_AUTO_TEST_CASE(decodersSurviveDamagedBodies)
{
    const bool passed = rc::check("damaged bodies", [] {
        const auto which = *rc::gen::inRange(0, 3);
        std::string body = which == 0 ? JobBody : which == 1 ? RulesBody : AnnouncementBody;
        const auto damages = *rc::gen::inRange(1, 6);
        for (int i = 0; i < damages; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
            body[at] = *rc::gen::arbitrary<char>();
        }
        for (const auto &decode : std::vector<std::function<void()>>{
                 [&] { platform::decodeJob(body); }, [&] { platform::decodeRules(body); }, [&] { platform::decodeAnnouncement("i", body); }}) {
            try {
                decode();
            } catch (const Error &) { // NOLINT(bugprone-empty-catch): refusing a damaged body is a valid result.
            }
        }
        platform::decodeRenewResponse(responseWith(200, body));
        platform::decodeAdviceResponse(responseWith(200, body));
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
