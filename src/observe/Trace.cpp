#include "observe/Trace.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <random>

namespace cranberryreel::observe
{

namespace
{

constexpr std::size_t TraceparentLength = 55;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t TraceIdOffset = 3;
constexpr std::size_t SpanIdOffset = 36;

struct SinkHolder {
    absl::Mutex mutex;
    std::shared_ptr<SpanSink> sink ABSL_GUARDED_BY(mutex);
    std::string service ABSL_GUARDED_BY(mutex);
};

SinkHolder &holder()
{
    static SinkHolder instance;
    return instance;
}

std::uint64_t random64()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

bool isHex(const std::string &text, std::size_t from, std::size_t length)
{
    return text.find_first_not_of("0123456789abcdef", from) >= from + length;
}

bool isTraceparent(const std::string &text)
{
    return text.size() == TraceparentLength && text[2] == '-' && text[SpanIdOffset - 1] == '-' && isHex(text, TraceIdOffset, TraceIdLength)
        && isHex(text, SpanIdOffset, SpanIdLength);
}

std::int64_t unixNanoseconds()
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

struct Span::Data {
    std::string name;
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    std::int64_t begin = 0;
    std::map<std::string, std::string> attributes;
};

Span::Span() = default;
Span::Span(Span &&other) noexcept = default;

Span::Span(std::string name, const std::string &parent)
    : data(std::make_unique<Data>())
{
    this->data->name = std::move(name);
    if (isTraceparent(parent)) {
        this->data->traceId = parent.substr(TraceIdOffset, TraceIdLength);
        this->data->parentSpanId = parent.substr(SpanIdOffset, SpanIdLength);
    } else {
        this->data->traceId = fmt::format("{:016x}{:016x}", random64(), random64());
    }
    this->data->spanId = fmt::format("{:016x}", random64());
    this->data->begin = unixNanoseconds();
}

Span &Span::operator=(Span &&other) noexcept
{
    if (this != &other) {
        this->end();
        this->data = std::move(other.data);
    }
    return *this;
}

Span::~Span()
{
    this->end();
}

std::string Span::traceparent() const
{
    return this->data ? fmt::format("00-{}-{}-01", this->data->traceId, this->data->spanId) : std::string();
}

std::string Span::traceId() const
{
    return this->data ? this->data->traceId : std::string();
}

void Span::set(const std::string &attribute, const std::string &value)
{
    if (this->data) {
        this->data->attributes[attribute] = value;
    }
}

void Span::end(base::ResultCode code)
{
    if (!this->data) {
        return;
    }
    const std::unique_ptr<Data> finished = std::move(this->data);
    std::shared_ptr<SpanSink> sink;
    std::string service;
    {
        absl::MutexLock lock(&holder().mutex);
        sink = holder().sink;
        service = holder().service;
    }
    if (!sink) {
        return;
    }
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto &[name, value] : finished->attributes) {
        attributes.push_back({{"key", name}, {"value", {{"stringValue", value}}}});
    }
    attributes.push_back({{"key", "result.code"}, {"value", {{"intValue", std::to_string(static_cast<int>(code))}}}});
    nlohmann::json span = {{"traceId", finished->traceId},
                           {"spanId", finished->spanId},
                           {"parentSpanId", finished->parentSpanId},
                           {"name", finished->name},
                           {"kind", 2},
                           {"startTimeUnixNano", std::to_string(finished->begin)},
                           {"endTimeUnixNano", std::to_string(unixNanoseconds())},
                           {"attributes", attributes},
                           {"status", {{"code", code == base::ResultCode::Ok ? 1 : 2}}}};
    const nlohmann::json resource = {{"attributes", {{{"key", "service.name"}, {"value", {{"stringValue", service}}}}}}};
    const nlohmann::json line = {{"resourceSpans", {{{"resource", resource}, {"scopeSpans", {{{"scope", {{"name", "cranberryreel"}}}, {"spans", {span}}}}}}}}};
    sink->write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void setSpanSink(std::shared_ptr<SpanSink> sink)
{
    absl::MutexLock lock(&holder().mutex);
    holder().sink = std::move(sink);
}

void setSpanService(const std::string &name)
{
    absl::MutexLock lock(&holder().mutex);
    holder().service = name;
}

} // namespace cranberryreel::observe
