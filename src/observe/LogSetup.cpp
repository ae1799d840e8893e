#include "observe/LogSetup.h"

#include "observe/StreamAppender.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <memory>

#include <unistd.h>

namespace cranberryreel::observe
{

namespace
{

constexpr const char *LinePattern = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n";
/// Layout of a structured line; the message starts with the event.
constexpr const char *StructuredPattern = "time=%d{{%Y-%m-%dT%H:%M:%S.%q}}Z level=%p part=%c vm={} %m%n";
constexpr long MaxFileBytes = 32L << 20U;
constexpr int MaxOldFiles = 3;

log4cplus::LogLevel parseLevel(std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return log4cplus::getLogLevelManager().fromString(name);
}

log4cplus::SharedAppenderPtr makeAppender(const LogOptions &options)
{
    if (options.file.empty()) {
        const bool toStandardError = true;
        const bool flushEach = true;
        return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(toStandardError, flushEach));
    }
    if (!std::ofstream(options.file, std::ios::app)) {
        throw base::Error(base::ResultCode::DataFolderUnwritable,
                          fmt::format("log file '{}' cannot be written; check that its folder exists and its permissions", options.file));
    }
    return log4cplus::SharedAppenderPtr(new log4cplus::RollingFileAppender(options.file, MaxFileBytes, MaxOldFiles));
}

} // namespace

void setUpLog(const LogOptions &options)
{
    const bool structured = !options.structuredAs.empty();
    log4cplus::SharedAppenderPtr appender = structured ? log4cplus::SharedAppenderPtr(new StreamAppender(STDOUT_FILENO)) : makeAppender(options);
    const std::string pattern = structured ? fmt::format(StructuredPattern, options.structuredAs) : LinePattern;
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(parseLevel(options.level));
}

void shutDownLog()
{
    log4cplus::Logger::getRoot().removeAllAppenders();
}

} // namespace cranberryreel::observe
