#pragma once

#include "cranberryreel/model/JobSpec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryreel::zone
{

enum class SubmitVerdict : char {
    Kept = 'n',
    KnownAlready = 'e', ///< The same id or idempotency key stands for a job that is kept already.
    KeyTaken = 'k', ///< The idempotency key stands for other work.
};

/// What applying a submit came to.
struct SubmitOutcome {
    SubmitVerdict verdict = SubmitVerdict::Kept;
    model::JobId job; ///< The job that is kept.

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
