#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::zone
{

/// How ZoneStore applied a submit command. The values are part of the result of the log entry.
enum class SubmitVerdict : char {
    Accepted = 'n',
    AlreadyKnown = 'e', ///< A job with the same id, or with the same idempotency key and work, already exists.
    KeyTaken = 'k', ///< The idempotency key is used for different work.
};

/// The result of a submit command as ZoneStore returns it to the proposer.
struct SubmitOutcome {
    SubmitVerdict verdict = SubmitVerdict::Accepted;
    model::JobId job; ///< The stored job: the submitted one, or the one that already existed.

    std::string encode() const
    {
        return std::string(1, static_cast<char>(this->verdict)) + this->job;
    }

    static SubmitOutcome decode(std::string_view bytes)
    {
        return bytes.empty() ? SubmitOutcome{} : SubmitOutcome{static_cast<SubmitVerdict>(bytes.front()), std::string(bytes.substr(1))};
    }
};

} // namespace cranberryreel::zone
