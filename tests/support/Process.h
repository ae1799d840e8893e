#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cranberryreel::support
{

/// A child process of a test, whose output goes to a file. The destructor kills it, and so does the kernel when the test process dies.
class Process
{
public:
    /// Starts the process. Throws std::system_error when the fork fails.
    Process(const std::vector<std::string> &command, const std::string &outputFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const;
    bool running();
    void signal(int number);

    /// Kills the process and waits until it has ended.
    void kill();

    /// Exit status, or 128 plus the signal number after a signal; empty while the process runs.
    std::optional<int> exitStatus();

private:
    void reap(int options);

    pid_t pid;
    std::optional<int> status;
};

} // namespace cranberryreel::support
