#pragma once

#include "observe/Trace.h"

#include <memory>
#include <vector>

namespace cranberryreel::observe
{

/// Hands every span to several sinks, which it shares with their makers.
class SpanFanOut : public SpanSink
{
public:
    explicit SpanFanOut(std::vector<std::shared_ptr<SpanSink>> targets);

    void write(const std::string &otlpJsonLine) override;

private:
    const std::vector<std::shared_ptr<SpanSink>> sinks;
};

} // namespace cranberryreel::observe
