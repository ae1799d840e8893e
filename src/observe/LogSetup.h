#pragma once

#include <string>

namespace cranberryreel::observe
{

struct LogOptions {
    std::string level = "info"; ///< debug, info, warn or error.
    std::string file; ///< Empty: standard error. Full files are rotated to ".1" to ".3".
    std::string structuredAs = {}; ///< If set, the log consists of key=value lines on standard output, with this name as vm; see StreamAppender.
};

/// Configures the log of the whole process; a later call replaces the configuration. Lines have the form "time level prefix: message", with the time in UTC.
/// Throws base::Error(DataFolderUnwritable) when the file cannot be written.
void setUpLog(const LogOptions &options);

/// Writes buffered lines and closes the log.
void shutDownLog();

} // namespace cranberryreel::observe
