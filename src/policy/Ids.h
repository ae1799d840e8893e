#pragma once

#include <cstdint>

namespace cranberryreel::policy
{

/// Dense numbers that replace names in frequently used data; each is an index into its owner's table.
using VmIndex = std::uint32_t;
using UpstreamIndex = std::uint32_t;
using PartnerIndex = std::uint32_t;
using JobIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
using NameIndex = std::uint32_t;

constexpr std::uint32_t NoIndex = UINT32_MAX;

} // namespace cranberryreel::policy
