#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cranberryreel::http
{

/// Where an HTTP server listens and what it allows its callers.
struct ServerOptions {
    std::string address = "127.0.0.1"; ///< IPv4 number.
    std::uint16_t port = 0; ///< 0: any free one.
    unsigned int threads = 4;
    unsigned int maxConnections = 4096; ///< Further ones are answered TooManyConnections.
    std::size_t maxBodyBytes = 4U << 20U;
    std::function<std::size_t(const std::string &path)> maxBodyBytesOf; ///< Where set, replaces maxBodyBytes by path.
    std::vector<std::string> keptHeaders; ///< Request headers that handlers see besides the usual ones.
    std::size_t maxBufferedBytes = 128U << 20U; ///< Of all bodies being received together.
    std::size_t maxAnswerBytes = 128U << 20U; ///< Of all large answers being written together; a single larger one goes alone.
    std::chrono::milliseconds headerLimit{10000}; ///< From connect to the end of the first request's headers.
    std::chrono::milliseconds bodyLimit{30000}; ///< From the end of the headers to the end of the body.
    std::chrono::milliseconds idleLimit{60000}; ///< From one answer to the end of the next request's headers.
    std::chrono::milliseconds answerLimit{600000}; ///< From the start of an answer's writing to its end.
    std::chrono::seconds stalledReaderLimit{60}; ///< A reader that takes no byte of its answer for so long is dropped.
};

} // namespace cranberryreel::http
