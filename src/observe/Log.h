#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <fmt/format.h>

#include <string>

namespace cranberryreel::observe
{

/// Logger of one component. Each line starts with the component's fixed prefix ("zone: ", "link: " and so on). Cheap to copy; one static instance per
/// component. Any thread.
class Log
{
public:
    explicit Log(const std::string &prefix)
        : logger(log4cplus::Logger::getInstance(prefix))
    {
    }

    template<typename... Args>
    void debug(fmt::format_string<Args...> format, Args &&...args) const
    {
        if (this->logger.isEnabledFor(log4cplus::DEBUG_LOG_LEVEL)) {
            this->write(log4cplus::DEBUG_LOG_LEVEL, fmt::format(format, std::forward<Args>(args)...));
        }
    }

    template<typename... Args>
    void info(fmt::format_string<Args...> format, Args &&...args) const
    {
        this->write(log4cplus::INFO_LOG_LEVEL, fmt::format(format, std::forward<Args>(args)...));
    }

    template<typename... Args>
    void warn(fmt::format_string<Args...> format, Args &&...args) const
    {
        this->write(log4cplus::WARN_LOG_LEVEL, fmt::format(format, std::forward<Args>(args)...));
    }

    template<typename... Args>
    void error(fmt::format_string<Args...> format, Args &&...args) const
    {
        this->write(log4cplus::ERROR_LOG_LEVEL, fmt::format(format, std::forward<Args>(args)...));
    }

private:
    void write(log4cplus::LogLevel level, const std::string &message) const
    {
        this->logger.log(level, message);
    }

    log4cplus::Logger logger;
};

} // namespace cranberryreel::observe
