#include "entry/HomeZone.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <random>

namespace cranberryreel::entry
{

namespace
{

constexpr std::size_t IdDigits = 16;
constexpr std::size_t MaxIdLength = 256;

} // namespace

HomeZone::HomeZone(std::string ownZone, std::vector<std::string> allZones)
    : own(std::move(ownZone))
    , zones(std::move(allZones))
{
    this->zones.push_back(this->own);
    std::sort(this->zones.begin(), this->zones.end());
    this->zones.erase(std::unique(this->zones.begin(), this->zones.end()), this->zones.end());
}

std::string HomeZone::zoneFor(const std::string &partner, const std::string &key) const
{
    if (key.empty()) {
        return this->own;
    }
    std::string prefix = key.substr(0, key.find(':'));
    if (prefix.size() < key.size() && std::binary_search(this->zones.begin(), this->zones.end(), prefix)) {
        return prefix;
    }
    const std::string hashed = partner + '\n' + key;
    return this->zones[XXH3_64bits(hashed.data(), hashed.size()) % this->zones.size()];
}

model::JobId HomeZone::newJobId(const std::string &zone)
{
    thread_local std::mt19937_64 generator{(static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}()};
    return fmt::format("{}-{:016x}", zone, generator());
}

std::string HomeZone::zoneFromId(const std::string &id)
{
    const std::size_t dash = id.rfind('-');
    if (id.size() > MaxIdLength || dash == std::string::npos || dash == 0 || id.size() - dash - 1 != IdDigits) {
        return "";
    }
    return id.find_first_not_of("0123456789abcdef", dash + 1) == std::string::npos ? id.substr(0, dash) : "";
}

} // namespace cranberryreel::entry
