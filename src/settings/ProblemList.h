#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::settings
{

/// Position of a problem in an INI file. Line 0 means that the problem belongs to no line.
struct IniPlace {
    std::string section;
    std::string key;
    int line = 0;
};

/// Collects all problems of one INI file, so that its author sees them in one error. Owned by the function that parses the file; used by one thread.
class ProblemList
{
public:
    /// Each line of the error starts with `fileName`. If `onlyCode` is set, it replaces the code of every problem.
    explicit ProblemList(std::string fileName, std::optional<base::ResultCode> onlyCode = std::nullopt);

    void add(base::ResultCode code, const IniPlace &place, const std::string &message);
    bool empty() const;

    /// If there are problems, throws base::Error with the code of the first and one line for each of the first 100.
    void throwIfAny() const;

private:
    std::string fileName;
    std::optional<base::ResultCode> onlyCode;
    base::ResultCode firstCode = base::ResultCode::Ok;
    std::vector<std::string> lines;
};

} // namespace cranberryreel::settings
