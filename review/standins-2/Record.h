#pragma once

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>

namespace cranberryreel::review
{

using Steady = std::chrono::steady_clock;

/// The record of a case: what was sent, answered and run, one line each with the seconds since the start. Any thread.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

    template<typename... Parts>
    void note(fmt::format_string<Parts...> text, Parts &&...parts)
    {
        this->write(fmt::format(text, std::forward<Parts>(parts)...));
    }

private:
    const Steady::time_point startedAt = Steady::now();
    std::mutex mutex;
    std::ofstream file;
};

} // namespace cranberryreel::review
