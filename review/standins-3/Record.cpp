#include "Record.h"

#include <fmt/format.h>

namespace review
{

Record::Record(const std::string &file)
    : out(file, std::ios::trunc)
{
}

void Record::line(const std::string &text)
{
    const absl::MutexLock lock(&this->mutex);
    this->out << fmt::format("{:8.3f}  {}\n", static_cast<double>(this->elapsed().count()) / 1000.0, text) << std::flush;
}

std::chrono::milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->start);
}

} // namespace review
