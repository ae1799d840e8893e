#pragma once

#include <string>
#include <string_view>

namespace cranberryreel::cell::teams
{

/// The first 8 hexadecimal digits of the key's SHA-256, which tell keys apart in logs without disclosing them; "none" for an empty key.
std::string keyFingerprint(std::string_view key);

} // namespace cranberryreel::cell::teams
