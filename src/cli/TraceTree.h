#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// Collects the spans of one or more traces and draws each trace as a tree of hops with their durations.
class TraceTree
{
public:
    /// Adds the spans of an OTLP/JSON document; a span that is already present is replaced.
    void addDocument(const nlohmann::json &document);

    bool empty() const;
    std::set<std::string> traceIds() const;

    /// Draws one trace after another; each line fits 80 columns.
    std::string draw() const;

private:
    struct Hop {
        std::string trace;
        std::string parent;
        std::string name;
        std::string vm;
        std::string code; ///< Result code; empty for success.
        std::int64_t begin = 0; ///< Nanoseconds.
        std::int64_t end = 0;
    };

    void addSpan(const nlohmann::json &span, const std::string &vm);
    std::vector<std::string> childrenOf(const std::string &trace, const std::string &parent) const;
    void drawHop(const std::string &id, const std::string &prefix, bool isRoot, bool isLast, std::int64_t traceBegin, std::string &text) const;

    std::map<std::string, Hop> hops; ///< By span id.
};

} // namespace cranberryreel::cli
