#include "ToolFixture.h"

#include "cli/Command.h"

#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace cranberryreel;

namespace
{

const std::vector<std::string> Request = {"submit", "request", "quote", "--cpu-millis", "500", "--memory-mib", "64", "--deadline-ms", "2000"};

std::vector<std::string> append(std::vector<std::string> words, const std::vector<std::string> &more)
{
    words.insert(words.end(), more.begin(), more.end());
    return words;
}

std::size_t displayWidth(const std::string &line)
{
    return static_cast<std::size_t>(std::count_if(line.begin(), line.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; }));
}

void requireFitsScreen(const std::string &text)
{
    for (const absl::string_view piece : absl::StrSplit(text, '\n')) {
        const std::string line(piece);
        BOOST_TEST(displayWidth(line) <= 80U, "too wide: " << line);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ToolTest, ToolFixture)

BOOST_AUTO_TEST_CASE(everyCommandHasHelpThatFitsTheScreen)
{
    BOOST_TEST(this->runCommandLine({"--help"}) == 0);
    requireFitsScreen(this->out);
    for (const cli::Command &command : cli::commandTable()) {
        std::vector<std::string> words = absl::StrSplit(command.words, ' ');
        words.emplace_back("--help");
        BOOST_TEST(this->runCommandLine(words) == 0, command.words);
        BOOST_TEST(this->outContains(command.summary));
        requireFitsScreen(this->out);
    }
}

BOOST_AUTO_TEST_CASE(wrongCommandLinesAreUsageErrors)
{
    const std::vector<std::vector<std::string>> wrong = {{},
                                                         {"sumbit"},
                                                         {"submit", "request"},
                                                         {"submit", "request", "a", "b"},
                                                         {"submit", "request", "a", "--cpu"},
                                                         {"submit", "request", "a", "--cpu-millis"},
                                                         {"submit", "request", "a", "--cpu-millis", "many", "--memory-mib", "1", "--deadline-ms", "1"},
                                                         {"status", "--colour", "id"},
                                                         append(Request, {"--once"}),
                                                         {"register", "load", "no-such-file"},
                                                         {"zones"}};
    for (const std::vector<std::string> &words : wrong) {
        BOOST_TEST(this->runCommandLine(words) == 1, "exit code of: " << (words.empty() ? "" : words.back()));
    }
    this->runCommandLine({"status", "--colour", "id"});
    BOOST_TEST(this->errContains("UsageError (1020): '--colour' is not an option"), this->err);
}

BOOST_AUTO_TEST_CASE(requestPrintsItsAnswer)
{
    BOOST_TEST(this->run(append(Request, {"--payload", "tide"})) == 0);
    BOOST_TEST(this->outContains("request 'quote' of agents: done"), this->out);
    BOOST_TEST(this->outContains("answer: tide"));
    BOOST_TEST(this->run(append(Request, {"--json"})) == 0);
    BOOST_TEST(nlohmann::json::parse(this->out)["state"] == "done");
}

BOOST_AUTO_TEST_CASE(optionsReachTheEntryVm)
{
    BOOST_TEST(this->run(append(Request, {"--once", "--key", "k1", "--priority", "7", "--accelerators", "2", "--run-time-ms", "40"})) == 0);
    const model::JobSpec spec = this->dispatcher->lastSpec();
    BOOST_TEST(!spec.repeatable);
    BOOST_TEST(spec.key == "k1");
    BOOST_TEST(spec.priority == 7);
    BOOST_TEST((spec.perTask == model::Resources{500, 64, 2}));
    BOOST_TEST(spec.runTime.count() == 40);
    BOOST_TEST(this->run({"submit", "gang", "train", "--tasks", "4", "--cpu-millis", "1", "--memory-mib", "1"}) == 0);
    BOOST_TEST((this->dispatcher->lastSpec().kind == model::JobKind::Gang));
    BOOST_TEST(this->dispatcher->lastSpec().tasks == 4U);
}

BOOST_AUTO_TEST_CASE(workStatusIsShownAndWorkIsCancelled)
{
    BOOST_TEST(this->run({"submit", "batch", "nightly", "--tasks", "1", "--cpu-millis", "1", "--memory-mib", "1", "--json"}) == 0);
    const std::string id = nlohmann::json::parse(this->out)["id"];
    BOOST_TEST(this->run({"status", id}) == 0);
    BOOST_TEST(this->outContains(id));
    BOOST_TEST(this->run({"wait", id, "--limit-s", "0"}) == 1);
    BOOST_TEST(this->errContains("WaitTimedOut"));
    BOOST_TEST(this->run({"cancel", id}) == 0);
    BOOST_TEST(this->outContains("CancelledBeforeStart (3005)"));
    BOOST_TEST(this->run({"status", "rey-ffffffffffffffff"}) == 2);
    BOOST_TEST(this->errContains("next: check the id"));
}

BOOST_AUTO_TEST_CASE(exitCodeIsThousandsDigitOfResultCode)
{
    this->dispatcher->refuseWith(base::ResultCode::QueueFull);
    BOOST_TEST(this->run(Request) == 3);
    BOOST_TEST(this->errContains("QueueFull (3003)"));
    BOOST_TEST(this->errContains("next: "));
    BOOST_TEST(this->runAs(this->writeFile("wrong.key", "nobody"), Request) == 2);
    BOOST_TEST(this->errContains("--key-file"));
    BOOST_TEST(this->run(append(Request, {"--json"})) == 3);
    BOOST_TEST(nlohmann::json::parse(this->out)["code_name"] == "QueueFull");
}

BOOST_AUTO_TEST_CASE(unreachableEntryVmIsSkipped)
{
    const std::string unusedAddress = support::loopback(support::freePort());
    const std::vector<std::string> words = append(Request, {"--entry", unusedAddress, "--entry", this->entryAddress(), "--key-file", this->partnerKey});
    BOOST_TEST(this->runCommandLine(words) == 0, this->err);
    BOOST_TEST(this->runCommandLine(append(Request, {"--entry", unusedAddress})) == 1);
    BOOST_TEST(this->errContains("EntryUnreachable (1021)"));
}

BOOST_AUTO_TEST_CASE(configurationLoadReportsRevisionOrConflict)
{
    const std::string path = this->writeFile("register.ini", "[service quotes]\n");
    BOOST_TEST(this->runAsOperator({"register", "load", path}) == 0, this->err);
    BOOST_TEST(this->outContains("is revision 1"));
    BOOST_TEST(this->outContains("in force at 1 of 1"));
    BOOST_TEST(this->runAsOperator({"rules", "load", path, "--from", "0"}) == 4);
    BOOST_TEST(this->errContains("next: see `cranberryreel config show`"));
    BOOST_TEST(this->runAsOperator({"config", "show", "register"}) == 0);
    BOOST_TEST(this->out == "[service quotes]\n");
    BOOST_TEST(this->runAsOperator({"config", "status"}) == 0);
    BOOST_TEST(this->outContains("current"));
    BOOST_TEST(this->run({"register", "load", path}) == 2);
    BOOST_TEST(this->errContains("Forbidden"));
}

BOOST_AUTO_TEST_CASE(viewsFitTheScreen)
{
    for (const char *view : {"upstreams", "jobs", "shares", "zones"}) {
        BOOST_TEST(this->runAsOperator({view}) == 0, this->err);
        BOOST_TEST(this->outContains("zone akr gave no answer"));
        requireFitsScreen(this->out);
        BOOST_TEST(this->runAsOperator({view, "--json"}) == 0);
        BOOST_TEST(nlohmann::json::parse(this->out).contains(view));
    }
    BOOST_TEST(this->runAsOperator({"shares"}) == 0);
    BOOST_TEST(this->outContains("12.5%"));
    BOOST_TEST(this->runAsOperator({"explain", "rey-0000000000000001"}) == 0);
    BOOST_TEST(this->outContains("(accepted): waits for 2 accelerators"));
    BOOST_TEST(this->runAsOperator({"drain", "vm-a", "--undo"}) == 0);
    BOOST_TEST(this->runAsOperator({"drain", "vm-z"}) == 4);
}

BOOST_AUTO_TEST_CASE(traceIsDrawnAsTreeOfHops)
{
    observe::setSpanService("rey-a");
    observe::setSpanSink(this->spans);
    observe::Span entry("entry.submit", "");
    entry.set("work.id", "rey-0000000000000001");
    observe::Span zone("zone.place", entry.traceparent());
    observe::Span("upstream.start", zone.traceparent()).end(base::ResultCode::UpstreamUnreachable);
    zone.end();
    const std::string trace = entry.traceId();
    entry.end();
    observe::setSpanSink(nullptr);
    BOOST_TEST(this->runAsOperator({"trace", "rey-0000000000000001"}) == 0, this->err);
    BOOST_TEST(this->outContains("trace " + trace));
    BOOST_TEST(this->outContains("\nentry.submit"));
    BOOST_TEST(this->outContains("\n└─ zone.place"));
    BOOST_TEST(this->outContains("\n   └─ upstream.start [6001]"));
    requireFitsScreen(this->out);
    BOOST_TEST(this->runAsOperator({"trace", "0123456789abcdef0123456789abcdef"}) == 2);
}

BOOST_AUTO_TEST_CASE(keysAreHashedFromStandardInput)
{
    BOOST_TEST(this->runCommandLine({"key", "hash"}, "agents-key\n") == 0);
    BOOST_TEST(this->out == config::keyHash("agents-key") + "\n");
    BOOST_TEST(this->runCommandLine({"key", "hash"}, "\n") == 1);
}

BOOST_AUTO_TEST_CASE(completionNamesEveryCommand)
{
    BOOST_TEST(this->runCommandLine({"completion", "bash"}) == 0);
    for (const cli::Command &command : cli::commandTable()) {
        BOOST_TEST(this->outContains("'" + std::string(command.words) + "')"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
