#include "link/RefusalLog.h"

#include "link/LinkLog.h"

namespace cranberryreel::link
{

namespace
{

constexpr std::chrono::seconds MinLineInterval{1};

} // namespace

void RefusalLog::logRefusal(base::SteadyTime now, const std::string &sentence)
{
    if (now - this->lastLine < MinLineInterval) {
        ++this->unlogged;
        return;
    }
    linkLog().warn("Handshake refused: {} Refusals not logged since the last line: {}.", sentence, this->unlogged);
    this->lastLine = now;
    this->unlogged = 0;
}

} // namespace cranberryreel::link
