#pragma once

#include <string>
#include <string_view>

namespace cranberryreel::config
{

/// SHA-256 of a bearer key in lower-case hex, as the register and the settings keep it.
std::string keyHash(std::string_view key);

} // namespace cranberryreel::config
