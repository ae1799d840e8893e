#pragma once

#include <string>
#include <string_view>

namespace cranberryreel::config
{

/// Returns the SHA-256 of a bearer key in lower-case hex, the form used in the register and the settings.
std::string keyHash(std::string_view key);

} // namespace cranberryreel::config
