#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cranberryreel::support
{

/// A child process of a test. Its output goes to a file; it is killed with its owner, and by the kernel when the test itself dies.
class Process
{
public:
    /// Throws std::system_error.
    Process(const std::vector<std::string> &command, const std::string &outputFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    bool running();
    void signal(int number);

    /// Kills it and waits until it has ended.
    void kill();

    /// Exit status once it has ended; 128 and the signal's number after a signal.
    std::optional<int> exitStatus();

private:
    void reap(int options);

    pid_t pid;
    std::optional<int> status;
};

} // namespace cranberryreel::support
