#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <stdexcept>
#include <string>

namespace cranberryreel::base
{

/// The one exception type thrown across parts: a numbered code and a sentence that says what to do next.
class Error : public std::runtime_error
{
public:
    Error(ResultCode code, const std::string &message)
        : std::runtime_error(message)
        , resultCode(code)
    {
    }

    ResultCode code() const
    {
        return this->resultCode;
    }

private:
    ResultCode resultCode;
};

} // namespace cranberryreel::base
