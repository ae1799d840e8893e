#include "link/RefusalLog.h"

#include "link/LinkLog.h"

namespace cranberryreel::link
{

namespace
{

constexpr std::chrono::seconds LineInterval{1};

} // namespace

void RefusalLog::refused(base::SteadyTime now, const std::string &sentence)
{
    if (now - this->lastLine < LineInterval) {
        ++this->unlogged;
        return;
    }
    linkLog().warn("A handshake failed: {} {} more were not logged.", sentence, this->unlogged);
    this->lastLine = now;
    this->unlogged = 0;
}

} // namespace cranberryreel::link
