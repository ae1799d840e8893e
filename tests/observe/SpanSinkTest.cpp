#include "cranberryreel/base/Error.h"
#include "observe/SpanFanOut.h"
#include "observe/SpanFile.h"
#include "observe/SpanRing.h"

#include "support/Eventually.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>

using namespace cranberryreel;

namespace
{

/// Sets the process's span sink for the guard's lifetime.
struct SinkGuard {
    explicit SinkGuard(std::shared_ptr<observe::SpanSink> sink)
    {
        observe::setSpanService("rey-a");
        observe::setSpanSink(std::move(sink));
    }

    ~SinkGuard()
    {
        observe::setSpanSink(nullptr);
    }
};

std::string spansPath()
{
    return std::string(CRANBERRYREEL_BINARY_DIR) + "/spans-test.jsonl";
}

std::size_t countJsonLines(const std::string &path)
{
    std::ifstream file(path);
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line);) {
        BOOST_TEST(nlohmann::json::accept(line));
        lines++;
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpanSinkTest)

BOOST_AUTO_TEST_CASE(ringFindsByTraceIdAndWorkId)
{
    const auto ring = std::make_shared<observe::SpanRing>(64);
    const SinkGuard guard(ring);
    observe::Span entry("entry.submit", "");
    entry.set("work.id", "rey-0000000000000001");
    const std::string trace = entry.traceId();
    observe::Span("zone.place", entry.traceparent()).end();
    entry.end();
    observe::Span("other", "").end();
    BOOST_TEST(ring->find(trace).size() == 2U);
    BOOST_TEST(ring->find("rey-0000000000000001").size() == 2U);
    BOOST_TEST(ring->find("rey-000000000000000").empty());
    BOOST_TEST(ring->find("").empty());
    BOOST_TEST(nlohmann::json::parse(ring->otlpJson(trace))["resourceSpans"].size() == 2U);
    BOOST_TEST(ring->otlpJson("none").empty());
}

BOOST_AUTO_TEST_CASE(ringIsBounded)
{
    const auto ring = std::make_shared<observe::SpanRing>(16);
    const SinkGuard guard(ring);
    const observe::Span root("root", "");
    for (int span = 0; span < 1000; span++) {
        observe::Span("hop", root.traceparent()).end();
    }
    BOOST_TEST(ring->find(root.traceId()).size() == 16U);
}

BOOST_AUTO_TEST_CASE(fileReceivesLinesAndIsBounded)
{
    std::filesystem::remove(spansPath());
    std::filesystem::remove(spansPath() + ".1");
    {
        const auto file = std::make_shared<observe::SpanFile>(spansPath(), 4096);
        const auto ring = std::make_shared<observe::SpanRing>(100);
        const SinkGuard guard(std::make_shared<observe::SpanFanOut>(std::vector<std::shared_ptr<observe::SpanSink>>{file, ring}));
        for (int span = 0; span < 50; span++) {
            observe::Span("hop", "").end();
        }
    }
    BOOST_TEST(countJsonLines(spansPath()) > 0U);
    BOOST_TEST(countJsonLines(spansPath() + ".1") > 0U);
    BOOST_TEST(std::filesystem::file_size(spansPath()) < 8192U);
}

BOOST_AUTO_TEST_CASE(aFileIsWrittenAgainAfterTheDiskWasFull)
{
    std::filesystem::remove(spansPath());
    std::filesystem::create_symlink("/dev/full", spansPath());
    observe::SpanFile file(spansPath());
    file.write("{}");
    std::filesystem::remove(spansPath());
    const bool written = support::eventually([&file] {
        file.write("{}");
        return std::filesystem::exists(spansPath()) && countJsonLines(spansPath()) > 0;
    });
    BOOST_TEST(written);
}

BOOST_AUTO_TEST_CASE(anUnwritableFileIsRefused)
{
    BOOST_CHECK_EXCEPTION(observe::SpanFile("no/such/folder/spans"), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::DataFolderUnwritable;
    });
}

BOOST_AUTO_TEST_SUITE_END()
