#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::http
{

/// One whole HTTP request as a handler sees it: decoded path and query, the headers that matter here, and the body. Owned by its exchange.
struct Request {
    std::string method; ///< Upper case, as sent.
    std::string path; ///< Percent-decoded, without the query.
    std::map<std::string, std::string> query;
    std::string authorization; ///< The Authorization header; empty when absent.
    std::string traceparent; ///< The W3C traceparent header; empty when absent.
    std::map<std::string, std::string> headers; ///< Those that ServerOptions::keptHeaders names, under the names given there.
    std::string body;
    std::uint64_t connection = 0; ///< Counts the server's connections from 1, in the order they were opened.

    /// The kept header's value, or empty.
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }

    /// The query parameter's value, or empty.
    std::string parameter(const std::string &name) const
    {
        const auto found = this->query.find(name);
        return found == this->query.end() ? std::string() : found->second;
    }
};

} // namespace cranberryreel::http
