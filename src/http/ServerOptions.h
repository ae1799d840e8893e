#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::http
{

/// Address and limits of an HTTP server.
struct ServerOptions {
    std::string address = "127.0.0.1"; ///< IPv4 address in dotted notation.
    std::uint16_t port = 0; ///< 0: any free port.
    unsigned int threads = 4;
    unsigned int maxConnections = 4096; ///< Requests on further connections get the error TooManyConnections.
    std::size_t maxBodyBytes = 4U << 20U;
    std::function<std::size_t(const std::string &path)> maxBodyBytesOf; ///< If set, gives the limit for a path instead of maxBodyBytes.
    std::vector<std::string> forwardedHeaders; ///< Names of the headers to put into Request::headers.
    std::size_t maxBufferedBytes = 128U << 20U; ///< Total size of all bodies being received.
    std::size_t maxResponseBytes = 128U << 20U; ///< Total size of all large responses being written; a larger single response is sent alone.
    std::chrono::milliseconds headerLimit{10000}; ///< From the connect to the end of the first request's headers.
    std::chrono::milliseconds bodyLimit{30000}; ///< From the end of the headers to the end of the body.
    std::chrono::milliseconds idleLimit{60000}; ///< From the end of a response to the end of the next request's headers.
    std::chrono::milliseconds writeLimit{600000}; ///< From the start to the end of writing a response.
    std::chrono::seconds stalledReaderLimit{60}; ///< A peer that reads no byte of its response for this long is dropped.
};

} // namespace cranberryreel::http
