#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <stdexcept>
#include <string>

namespace cranberryreel::base
{

/// The only exception type thrown across library boundaries: a numbered code and a message that says how to correct the problem.
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
