#include "cli/TraceTree.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>

namespace cranberryreel::cli
{

namespace
{

constexpr std::size_t NameColumns = 42;
constexpr double NanosecondsPerMillisecond = 1e6;

std::int64_t nanoseconds(const nlohmann::json &span, const char *key)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(span.value(key, ""), &value) ? value : 0;
}

std::string attribute(const nlohmann::json &holder, const std::string &name)
{
    for (const nlohmann::json &each : holder.value("attributes", nlohmann::json::array())) {
        if (each.value("key", "") == name) {
            const nlohmann::json value = each.value("value", nlohmann::json::object());
            return value.value("stringValue", value.value("intValue", ""));
        }
    }
    return {};
}

/// Returns the screen columns of a UTF-8 text, one for each character.
std::size_t displayWidth(const std::string &text)
{
    constexpr unsigned char ContinuationMask = 0xC0;
    constexpr unsigned char Continuation = 0x80;
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char byte) { return (static_cast<unsigned char>(byte) & ContinuationMask) != Continuation; }));
}

std::string padded(const std::string &text, std::size_t columns)
{
    const std::size_t taken = displayWidth(text);
    return taken >= columns ? text : text + std::string(columns - taken, ' ');
}

double milliseconds(std::int64_t duration)
{
    return static_cast<double>(duration) / NanosecondsPerMillisecond;
}

} // namespace

void TraceTree::addDocument(const nlohmann::json &document)
{
    for (const nlohmann::json &resource : document.value("resourceSpans", nlohmann::json::array())) {
        const std::string vm = attribute(resource.value("resource", nlohmann::json::object()), "service.name");
        for (const nlohmann::json &scope : resource.value("scopeSpans", nlohmann::json::array())) {
            for (const nlohmann::json &span : scope.value("spans", nlohmann::json::array())) {
                this->addSpan(span, vm);
            }
        }
    }
}

void TraceTree::addSpan(const nlohmann::json &span, const std::string &vm)
{
    const std::string code = attribute(span, "result.code");
    this->hops[span.value("spanId", "")] = {span.value("traceId", ""),
                                            span.value("parentSpanId", ""),
                                            span.value("name", ""),
                                            vm,
                                            code == "0" ? "" : code,
                                            nanoseconds(span, "startTimeUnixNano"),
                                            nanoseconds(span, "endTimeUnixNano")};
}

bool TraceTree::empty() const
{
    return this->hops.empty();
}

std::set<std::string> TraceTree::traceIds() const
{
    std::set<std::string> ids;
    for (const auto &[id, hop] : this->hops) {
        ids.insert(hop.trace);
    }
    return ids;
}

std::vector<std::string> TraceTree::childrenOf(const std::string &trace, const std::string &parent) const
{
    std::vector<std::string> children;
    for (const auto &[id, hop] : this->hops) {
        const bool isRoot = this->hops.count(hop.parent) == 0;
        if (hop.trace == trace && (parent.empty() ? isRoot : hop.parent == parent && hop.parent != id)) {
            children.push_back(id);
        }
    }
    std::sort(children.begin(), children.end(), [this](const std::string &left, const std::string &right) {
        return this->hops.at(left).begin < this->hops.at(right).begin;
    });
    return children;
}

std::string TraceTree::draw() const
{
    std::string text;
    for (const std::string &trace : this->traceIds()) {
        text += fmt::format("trace {}\n{}  {:<12} {:>10} {:>12}\n", trace, padded("hop", NameColumns), "vm", "at ms", "took ms");
        const std::vector<std::string> roots = this->childrenOf(trace, "");
        for (std::size_t index = 0; index < roots.size(); index++) {
            this->drawHop(roots[index], "", true, index + 1 == roots.size(), this->hops.at(roots.front()).begin, text);
        }
    }
    return text;
}

void TraceTree::drawHop(const std::string &id, const std::string &prefix, bool isRoot, bool isLast, std::int64_t traceBegin, std::string &text) const
{
    const Hop &hop = this->hops.at(id);
    const std::string branch = isRoot ? "" : isLast ? "└─ " : "├─ ";
    std::string name = prefix + branch + hop.name;
    if (!hop.code.empty()) {
        name += " [" + hop.code + "]";
    }
    text += fmt::format(
        "{}  {:<12.12} {:>10.3f} {:>12.3f}\n", padded(name, NameColumns), hop.vm, milliseconds(hop.begin - traceBegin), milliseconds(hop.end - hop.begin));
    const std::vector<std::string> children = this->childrenOf(hop.trace, id);
    const std::string below = isRoot ? "" : prefix + (isLast ? "   " : "│  ");
    for (std::size_t index = 0; index < children.size(); index++) {
        this->drawHop(children[index], below, false, index + 1 == children.size(), traceBegin, text);
    }
}

} // namespace cranberryreel::cli
