#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cranberryreel::http
{

/// One complete HTTP request as passed to a handler: decoded path and query, selected headers, and the body. Owned by its Exchange.
struct Request {
    std::string method; ///< Upper case, as sent.
    std::string path; ///< Percent-decoded, without the query.
    std::map<std::string, std::string> query;
    std::string authorization; ///< The Authorization header; empty when absent.
    std::string traceparent; ///< The W3C traceparent header; empty when absent.
    std::map<std::string, std::string> headers; ///< The headers listed in ServerOptions::forwardedHeaders, under the names given there.
    std::string body;
    std::uint64_t connection = 0; ///< Sequence number of the connection, from 1 in the order of opening.

    /// The value of a header in `headers`, or empty.
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }

    /// The value of a query parameter, or empty.
    std::string parameter(const std::string &name) const
    {
        const auto found = this->query.find(name);
        return found == this->query.end() ? std::string() : found->second;
    }
};

} // namespace cranberryreel::http
