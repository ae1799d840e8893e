#include "config/KeyHash.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <array>

namespace cranberryreel::config
{

std::string keyHash(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()));
}

} // namespace cranberryreel::config
