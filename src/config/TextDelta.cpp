#include "config/TextDelta.h"

#include <algorithm>

namespace cranberryreel::config
{

TextDelta TextDelta::between(const std::string &base, const std::string &text)
{
    const std::size_t shorter = std::min(base.size(), text.size());
    const auto prefixEnd = std::mismatch(base.begin(), base.begin() + static_cast<std::ptrdiff_t>(shorter), text.begin()).first;
    const auto prefix = static_cast<std::size_t>(prefixEnd - base.begin());
    const auto suffixEnd = std::mismatch(base.rbegin(), base.rbegin() + static_cast<std::ptrdiff_t>(shorter - prefix), text.rbegin()).first;
    const auto suffix = static_cast<std::size_t>(suffixEnd - base.rbegin());
    return {static_cast<std::uint32_t>(prefix), static_cast<std::uint32_t>(suffix), text.substr(prefix, text.size() - prefix - suffix)};
}

std::optional<std::string> TextDelta::applyTo(const std::string &base) const
{
    if (std::uint64_t{this->prefixBytes} + this->suffixBytes > base.size()) {
        return std::nullopt;
    }
    return base.substr(0, this->prefixBytes) + this->middle + base.substr(base.size() - this->suffixBytes);
}

} // namespace cranberryreel::config
