#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace cranberryreel::review
{

/// Writes what was sent, answered and run to the record of a case, one line each, with the time since the start. Any thread. Owned by the case.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

    /// Time since the record was opened.
    std::chrono::milliseconds elapsed() const;

private:
    const std::chrono::steady_clock::time_point openedAt = std::chrono::steady_clock::now();
    std::mutex mutex;
    std::ofstream file;
};

} // namespace cranberryreel::review
