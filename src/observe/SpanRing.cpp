#include "observe/SpanRing.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include <set>

namespace cranberryreel::observe
{

namespace
{

const nlohmann::json *findSpan(const nlohmann::json &line)
{
    const nlohmann::json::json_pointer pointer("/resourceSpans/0/scopeSpans/0/spans/0");
    return line.contains(pointer) ? &line.at(pointer) : nullptr;
}

bool belongsToWork(const nlohmann::json &span, const std::string &id)
{
    for (const nlohmann::json &attribute : span.value("attributes", nlohmann::json::array())) {
        if (attribute.value("key", "") == "work.id" && attribute.value("/value/stringValue"_json_pointer, "") == id) {
            return true;
        }
    }
    return false;
}

} // namespace

SpanRing::SpanRing(std::size_t capacity)
    : shardCapacity((capacity + ShardCount - 1) / ShardCount)
{
}

void SpanRing::write(const std::string &otlpJsonLine)
{
    if (this->shardCapacity == 0) {
        return;
    }
    Shard &shard = this->shards[this->nextShard.fetch_add(1, std::memory_order_relaxed) % ShardCount];
    absl::MutexLock lock(&shard.mutex);
    if (shard.lines.size() < this->shardCapacity) {
        shard.lines.push_back(otlpJsonLine);
        return;
    }
    shard.lines[shard.next] = otlpJsonLine;
    shard.next = (shard.next + 1) % this->shardCapacity;
}

std::vector<std::string> SpanRing::find(const std::string &id) const
{
    if (id.empty()) {
        return {};
    }
    std::set<std::string> traces;
    for (const std::string &line : this->linesContaining(id)) {
        const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
        const nlohmann::json *span = findSpan(parsed);
        if (span == nullptr) {
            continue;
        }
        if (const std::string trace = span->value("traceId", ""); trace == id || belongsToWork(*span, id)) {
            traces.insert(trace);
        }
    }
    std::vector<std::string> found;
    for (const std::string &trace : traces) {
        std::vector<std::string> lines = this->linesContaining(fmt::format("\"traceId\":\"{}\"", trace));
        std::move(lines.begin(), lines.end(), std::back_inserter(found));
    }
    return found;
}

std::string SpanRing::otlpJson(const std::string &id) const
{
    nlohmann::json resourceSpans = nlohmann::json::array();
    for (const std::string &line : this->find(id)) {
        const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.contains("resourceSpans")) {
            resourceSpans.push_back(parsed["resourceSpans"][0]);
        }
    }
    return resourceSpans.empty() ? std::string() : nlohmann::json{{"resourceSpans", std::move(resourceSpans)}}.dump();
}

std::vector<std::string> SpanRing::linesContaining(const std::string &text) const
{
    std::vector<std::string> found;
    for (const Shard &shard : this->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (const std::string &line : shard.lines) {
            if (line.find(text) != std::string::npos) {
                found.push_back(line);
            }
        }
    }
    return found;
}

} // namespace cranberryreel::observe
