#include "support/Process.h"

#include <cerrno>
#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cranberryreel::support
{

namespace
{

constexpr int SignalStatusBase = 128;
constexpr int ExecFailed = 127;

[[noreturn]] void executeChild(const std::vector<char *> &arguments, int output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(ExecFailed);
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::string &outputFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const int output = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->pid = ::fork();
    if (this->pid == 0) {
        executeChild(arguments, output);
    }
    ::close(output);
    if (this->pid < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
}

Process::~Process()
{
    this->kill();
}

pid_t Process::id() const
{
    return this->pid;
}

bool Process::running()
{
    this->reap(WNOHANG);
    return !this->status;
}

void Process::signal(int number)
{
    if (this->running()) {
        ::kill(this->pid, number);
    }
}

void Process::kill()
{
    this->signal(SIGKILL);
    this->reap(0);
}

std::optional<int> Process::exitStatus()
{
    this->reap(WNOHANG);
    return this->status;
}

void Process::reap(int options)
{
    int raw = 0;
    if (!this->status && ::waitpid(this->pid, &raw, options) == this->pid) {
        this->status = WIFSIGNALED(raw) ? SignalStatusBase + WTERMSIG(raw) : WEXITSTATUS(raw);
    }
}

} // namespace cranberryreel::support
