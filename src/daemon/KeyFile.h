#pragma once

#include <string>

namespace cranberryreel::daemon
{

/// Returns the first line of a key file. Throws base::Error(SettingsFileMissing) if the file cannot be read, SettingsBadValue if the line is empty.
std::string readKeyFile(const std::string &path);

} // namespace cranberryreel::daemon
