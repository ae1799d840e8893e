#pragma once

#include "cranberryreel/base/ResultCode.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryreel::settings
{

/// Where in an INI file a problem lies. Line 0 means that it belongs to no line.
struct IniPlace {
    std::string section;
    std::string key;
    int line = 0;
};

/// Collects everything that is wrong with one INI file, so that its author reads all of it at once. Owned by whoever checks the file.
class ProblemList
{
public:
    /// `fileName` opens every line. With `onlyCode` every problem carries that code instead of its own.
    explicit ProblemList(std::string fileName, std::optional<base::ResultCode> onlyCode = std::nullopt);

    void add(base::ResultCode code, const IniPlace &place, const std::string &sentence);
    bool empty() const;

    /// Throws base::Error with the code of the first problem and one line for each, 100 at most; does nothing when there is none.
    void throwIfAny() const;

private:
    std::string fileName;
    std::optional<base::ResultCode> onlyCode;
    base::ResultCode firstCode = base::ResultCode::Ok;
    std::vector<std::string> lines;
};

} // namespace cranberryreel::settings
