#include "observe/StreamAppender.h"

#include "cranberryreel/base/Clock.h"

#include <boost/test/unit_test.hpp>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <csignal>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

using namespace cranberryreel;

namespace
{

/// A pipe whose reader may stop reading.
struct Pipe {
    int ends[2] = {-1, -1};

    Pipe()
    {
        if (::pipe2(this->ends, O_CLOEXEC) != 0) {
            throw std::runtime_error("cannot create a pipe");
        }
    }

    ~Pipe()
    {
        this->closeReader();
        ::close(this->ends[1]);
    }

    void closeReader()
    {
        if (this->ends[0] >= 0) {
            ::close(std::exchange(this->ends[0], -1));
        }
    }

    std::string readAll() const
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[4096];
        for (ssize_t got = 0; (got = ::read(this->ends[0], buffer, sizeof(buffer))) > 0;) {
            text.append(buffer, static_cast<std::size_t>(got));
        }
        return text;
    }
};

std::unique_ptr<observe::StreamAppender> appenderTo(const Pipe &pipe)
{
    auto appender = std::make_unique<observe::StreamAppender>(pipe.ends[1]);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

void log(observe::StreamAppender &appender, const std::string &line, log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL)
{
    appender.doAppend(log4cplus::spi::InternalLoggingEvent("test", level, line, __FILE__, __LINE__));
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamAppenderTest)

BOOST_AUTO_TEST_CASE(linesAreWrittenWholeAndInOrder)
{
    const Pipe pipe;
    auto appender = appenderTo(pipe);
    log(*appender, "one");
    log(*appender, "two");
    appender->close();
    BOOST_TEST(pipe.readAll() == "one\ntwo\n");
}

/// Guards against log calls that block when the reader of the log has stopped reading.
BOOST_AUTO_TEST_CASE(aStalledReaderDoesNotBlockLogging)
{
    Pipe pipe;
    std::signal(SIGPIPE, SIG_IGN);
    auto appender = appenderTo(pipe);
    const std::string line(300, 'x');
    const base::SteadyTime since = base::steadyNow();
    for (int i = 0; i < 20000; ++i) {
        log(*appender, line, log4cplus::WARN_LOG_LEVEL);
    }
    BOOST_TEST((base::steadyNow() - since < std::chrono::seconds(5)));
    pipe.closeReader();
    appender->close();
}

BOOST_AUTO_TEST_CASE(droppedLinesAreCountedAndWarningsArePreferred)
{
    const Pipe pipe;
    auto appender = appenderTo(pipe);
    for (int i = 0; i < 2000; ++i) {
        log(*appender, "ordinary");
    }
    log(*appender, "warning", log4cplus::WARN_LOG_LEVEL);
    appender->close();
    const std::string text = pipe.readAll();
    BOOST_TEST(text.find("event=log_gap dropped=") != std::string::npos);
    BOOST_TEST(text.find("warning") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
