#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryreel::cli
{

/// The spans of one or more traces as VMs told them, drawn as a tree of hops with their durations.
class TraceTree
{
public:
    /// Takes the spans of an OTLP/JSON document; those known already are passed over.
    void add(const nlohmann::json &document);

    bool empty() const;
    std::set<std::string> traceIds() const;

    /// One trace after another, each line within 80 columns.
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
