#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <fstream>
#include <string>

namespace review
{

/// The record of a case: one line for each event that clients, servers and the platform see. Any thread. Owned by the case.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    std::chrono::milliseconds elapsed() const;

private:
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    absl::Mutex mutex;
    std::ofstream out;
};

} // namespace review
