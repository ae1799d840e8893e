#pragma once

#include <string>

namespace cranberryreel::observe
{

struct LogOptions {
    std::string level = "info"; ///< debug, info, warn or error.
    std::string file; ///< Empty: standard error. A full file is kept as ".1" to ".3".
    std::string structuredAs = {}; ///< Set: lines of key=value pairs on standard output, in the name of this VM; see StreamAppender.
};

/// Directs the log of the whole process; a second call replaces the first. Lines read "time level prefix: sentence", with the time in UTC.
/// Throws base::Error(DataFolderUnwritable) when the file cannot be written.
void setUpLog(const LogOptions &options);

/// Writes out what is left and closes the log.
void shutDownLog();

} // namespace cranberryreel::observe
