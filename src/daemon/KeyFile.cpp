#include "daemon/KeyFile.h"

#include "cranberryreel/base/Error.h"

#include <fstream>

namespace cranberryreel::daemon
{

std::string readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw base::Error(base::ResultCode::SettingsFileMissing, "key file " + path + " cannot be read");
    }
    std::string key;
    std::getline(file, key);
    if (key.empty()) {
        throw base::Error(base::ResultCode::SettingsBadValue, "key file " + path + " is empty");
    }
    return key;
}

} // namespace cranberryreel::daemon
