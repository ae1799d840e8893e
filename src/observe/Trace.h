#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace cranberryreel::observe
{

/// Receives finished spans as OTLP/JSON lines. Shared by the daemon and setSpanSink(). write() may be called by any thread.
class SpanSink
{
public:
    virtual ~SpanSink() = default;
    virtual void write(const std::string &otlpJsonLine) = 0;
};

/// One span of a trace. Starts on construction and is written on end() or destruction. Move-only; owned by the code that performs the traced operation.
class Span
{
public:
    Span();

    /// `parent` is a W3C traceparent; an empty or malformed one starts a new trace.
    Span(std::string name, const std::string &parent);
    Span(Span &&other) noexcept;
    Span &operator=(Span &&other) noexcept;
    Span(const Span &) = delete;
    Span &operator=(const Span &) = delete;
    ~Span();

    /// Returns the traceparent to pass to child spans.
    std::string traceparent() const;
    std::string traceId() const;
    void set(const std::string &attribute, const std::string &value);
    void end(base::ResultCode code = base::ResultCode::Ok);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

/// Sets the sink of the process's spans. Null, the initial value, drops them. Any thread.
void setSpanSink(std::shared_ptr<SpanSink> sink);

/// Sets the service name in the process's spans, such as the VM's name. Any thread.
void setSpanService(const std::string &name);

} // namespace cranberryreel::observe
