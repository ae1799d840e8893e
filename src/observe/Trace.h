#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace cranberryreel::observe
{

/// Takes finished spans as OTLP/JSON lines. Owned by the daemon; spans hold it weakly.
class SpanSink
{
public:
    virtual ~SpanSink() = default;
    virtual void write(const std::string &otlpJsonLine) = 0;
};

/// One hop of one piece of work: begins on construction, is written on end() or destruction. Move-only; owned by whoever does the hop.
class Span
{
public:
    Span();

    /// `parent` is a W3C traceparent; an empty or malformed one begins a new trace.
    Span(std::string hop, const std::string &parent);
    Span(Span &&other) noexcept;
    Span &operator=(Span &&other) noexcept;
    Span(const Span &) = delete;
    Span &operator=(const Span &) = delete;
    ~Span();

    /// What the next hop gets as its parent.
    std::string traceparent() const;
    std::string traceId() const;
    void set(const std::string &attribute, const std::string &value);
    void end(base::ResultCode code = base::ResultCode::Ok);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

/// Where the process's spans go; null (the start) drops them.
void setSpanSink(std::shared_ptr<SpanSink> sink);

/// The name of this process in its spans, such as the VM's.
void setSpanService(const std::string &name);

} // namespace cranberryreel::observe
