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

std::vector<std::string> with(std::vector<std::string> words, const std::vector<std::string> &more)
{
    words.insert(words.end(), more.begin(), more.end());
    return words;
}

std::size_t columnsOf(const std::string &line)
{
    return static_cast<std::size_t>(std::count_if(line.begin(), line.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; }));
}

void requireFits(const std::string &text)
{
    for (const absl::string_view piece : absl::StrSplit(text, '\n')) {
        const std::string line(piece);
        BOOST_TEST(columnsOf(line) <= 80U, "too wide: " << line);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ToolTest, ToolFixture)

BOOST_AUTO_TEST_CASE(everyCommandHasHelpThatFitsTheScreen)
{
    BOOST_TEST(this->runBare({"--help"}) == 0);
    requireFits(this->out);
    for (const cli::Command &command : cli::commandTable()) {
        std::vector<std::string> words = absl::StrSplit(command.words, ' ');
        words.emplace_back("--help");
        BOOST_TEST(this->runBare(words) == 0, command.words);
        BOOST_TEST(this->prints(command.summary));
        requireFits(this->out);
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
                                                         with(Request, {"--once"}),
                                                         {"register", "load", "no-such-file"},
                                                         {"zones"}};
    for (const std::vector<std::string> &words : wrong) {
        BOOST_TEST(this->runBare(words) == 1, "exit code of: " << (words.empty() ? "" : words.back()));
    }
    this->runBare({"status", "--colour", "id"});
    BOOST_TEST(this->complains("UsageError (1020): '--colour' is not an option"), this->err);
}

BOOST_AUTO_TEST_CASE(aRequestPrintsItsAnswer)
{
    BOOST_TEST(this->run(with(Request, {"--payload", "tide"})) == 0);
    BOOST_TEST(this->prints("request 'quote' of agents: done"), this->out);
    BOOST_TEST(this->prints("answer: tide"));
    BOOST_TEST(this->run(with(Request, {"--json"})) == 0);
    BOOST_TEST(nlohmann::json::parse(this->out)["state"] == "done");
}

BOOST_AUTO_TEST_CASE(optionsReachTheEntryVm)
{
    BOOST_TEST(this->run(with(Request, {"--once", "--key", "k1", "--priority", "7", "--accelerators", "2", "--run-time-ms", "40"})) == 0);
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

BOOST_AUTO_TEST_CASE(workIsAskedAfterAndCancelled)
{
    BOOST_TEST(this->run({"submit", "batch", "nightly", "--tasks", "1", "--cpu-millis", "1", "--memory-mib", "1", "--json"}) == 0);
    const std::string id = nlohmann::json::parse(this->out)["id"];
    BOOST_TEST(this->run({"status", id}) == 0);
    BOOST_TEST(this->prints(id));
    BOOST_TEST(this->run({"wait", id, "--limit-s", "0"}) == 1);
    BOOST_TEST(this->complains("WaitTimedOut"));
    BOOST_TEST(this->run({"cancel", id}) == 0);
    BOOST_TEST(this->prints("CancelledBeforeStart (3005)"));
    BOOST_TEST(this->run({"status", "rey-ffffffffffffffff"}) == 2);
    BOOST_TEST(this->complains("next: check the id"));
}

BOOST_AUTO_TEST_CASE(refusalsExitWithTheirThousands)
{
    this->dispatcher->refuseWith(base::ResultCode::QueueFull);
    BOOST_TEST(this->run(Request) == 3);
    BOOST_TEST(this->complains("QueueFull (3003)"));
    BOOST_TEST(this->complains("next: "));
    BOOST_TEST(this->runAs(this->file("wrong.key", "nobody"), Request) == 2);
    BOOST_TEST(this->complains("--key-file"));
    BOOST_TEST(this->run(with(Request, {"--json"})) == 3);
    BOOST_TEST(nlohmann::json::parse(this->out)["code_name"] == "QueueFull");
}

BOOST_AUTO_TEST_CASE(anUnreachableEntryIsPassedOver)
{
    const std::string nobody = support::loopback(support::freePort());
    const std::vector<std::string> words = with(Request, {"--entry", nobody, "--entry", this->entry(), "--key-file", this->partnerKey});
    BOOST_TEST(this->runBare(words) == 0, this->err);
    BOOST_TEST(this->runBare(with(Request, {"--entry", nobody})) == 1);
    BOOST_TEST(this->complains("EntryUnreachable (1021)"));
}

BOOST_AUTO_TEST_CASE(changesAreLoadedAndRacesTold)
{
    const std::string path = this->file("register.ini", "[service quotes]\n");
    BOOST_TEST(this->runAsOperator({"register", "load", path}) == 0, this->err);
    BOOST_TEST(this->prints("is revision 1"));
    BOOST_TEST(this->prints("in force at 1 of 1"));
    BOOST_TEST(this->runAsOperator({"rules", "load", path, "--from", "0"}) == 4);
    BOOST_TEST(this->complains("next: see `cranberryreel config show`"));
    BOOST_TEST(this->runAsOperator({"config", "show", "register"}) == 0);
    BOOST_TEST(this->out == "[service quotes]\n");
    BOOST_TEST(this->runAsOperator({"config", "status"}) == 0);
    BOOST_TEST(this->prints("current"));
    BOOST_TEST(this->run({"register", "load", path}) == 2);
    BOOST_TEST(this->complains("Forbidden"));
}

BOOST_AUTO_TEST_CASE(viewsFitTheScreen)
{
    for (const char *view : {"upstreams", "jobs", "shares", "zones"}) {
        BOOST_TEST(this->runAsOperator({view}) == 0, this->err);
        BOOST_TEST(this->prints("zone akr gave no answer"));
        requireFits(this->out);
        BOOST_TEST(this->runAsOperator({view, "--json"}) == 0);
        BOOST_TEST(nlohmann::json::parse(this->out).contains(view));
    }
    BOOST_TEST(this->runAsOperator({"shares"}) == 0);
    BOOST_TEST(this->prints("12.5%"));
    BOOST_TEST(this->runAsOperator({"explain", "rey-0000000000000001"}) == 0);
    BOOST_TEST(this->prints("(accepted): waits for 2 accelerators"));
    BOOST_TEST(this->runAsOperator({"drain", "vm-a", "--undo"}) == 0);
    BOOST_TEST(this->runAsOperator({"drain", "vm-z"}) == 4);
}

BOOST_AUTO_TEST_CASE(aTraceIsDrawnAsATreeOfHops)
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
    BOOST_TEST(this->prints("trace " + trace));
    BOOST_TEST(this->prints("\nentry.submit"));
    BOOST_TEST(this->prints("\n└─ zone.place"));
    BOOST_TEST(this->prints("\n   └─ upstream.start [6001]"));
    requireFits(this->out);
    BOOST_TEST(this->runAsOperator({"trace", "0123456789abcdef0123456789abcdef"}) == 2);
}

BOOST_AUTO_TEST_CASE(keysAreHashedFromStandardInput)
{
    BOOST_TEST(this->runBare({"key", "hash"}, "agents-key\n") == 0);
    BOOST_TEST(this->out == config::keyHash("agents-key") + "\n");
    BOOST_TEST(this->runBare({"key", "hash"}, "\n") == 1);
}

BOOST_AUTO_TEST_CASE(completionNamesEveryCommand)
{
    BOOST_TEST(this->runBare({"completion", "bash"}) == 0);
    for (const cli::Command &command : cli::commandTable()) {
        BOOST_TEST(this->prints("'" + std::string(command.words) + "')"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
