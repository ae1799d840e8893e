#include "Record.h"

namespace cranberryreel::review
{

Record::Record(const std::string &path)
    : file(path, std::ios::trunc)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    const std::chrono::duration<double> since = Steady::now() - this->startedAt;
    this->file << fmt::format("{:9.3f} {}\n", since.count(), line) << std::flush;
}

} // namespace cranberryreel::review
