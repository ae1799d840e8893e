#include "cell/teams/KeyFingerprint.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <array>
#include <cstddef>

namespace cranberryreel::cell::teams
{

namespace
{

constexpr std::size_t FingerprintBytes = 4;

} // namespace

std::string keyFingerprint(std::string_view key)
{
    if (key.empty()) {
        return "none";
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.data()), FingerprintBytes));
}

} // namespace cranberryreel::cell::teams
