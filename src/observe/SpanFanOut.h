#pragma once

#include "observe/Trace.h"

#include <memory>
#include <vector>

namespace cranberryreel::observe
{

/// Forwards every span to several sinks, whose ownership it shares. Any thread, if the sinks allow that.
class SpanFanOut : public SpanSink
{
public:
    explicit SpanFanOut(std::vector<std::shared_ptr<SpanSink>> targets);

    void write(const std::string &otlpJsonLine) override;

private:
    const std::vector<std::shared_ptr<SpanSink>> sinks;
};

} // namespace cranberryreel::observe
