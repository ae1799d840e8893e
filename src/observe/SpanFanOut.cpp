#include "observe/SpanFanOut.h"

namespace cranberryreel::observe
{

SpanFanOut::SpanFanOut(std::vector<std::shared_ptr<SpanSink>> targets)
    : sinks(std::move(targets))
{
}

void SpanFanOut::write(const std::string &otlpJsonLine)
{
    for (const std::shared_ptr<SpanSink> &sink : this->sinks) {
        sink->write(otlpJsonLine);
    }
}

} // namespace cranberryreel::observe
