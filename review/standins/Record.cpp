#include "Record.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace cranberryreel::review
{

Record::Record(const std::string &path)
    : file(path, std::ios::trunc)
{
}

void Record::write(const std::string &line)
{
    std::ostringstream text;
    text << std::setw(7) << this->elapsed().count() << " ms  " << line << '\n';
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << text.str() << std::flush;
    std::cout << text.str() << std::flush;
}

std::chrono::milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->openedAt);
}

} // namespace cranberryreel::review
