#pragma once

#include <string>

namespace cranberryreel::daemon
{

/// The first line of a key file. Throws base::Error(SettingsFileMissing) when it cannot be read, SettingsBadValue when it is empty.
std::string readKeyFile(const std::string &path);

} // namespace cranberryreel::daemon
