#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace cranberryreel::soak
{

/// A call that an upstream received.
struct UpstreamCall {
    std::string path;
    nlohmann::json body;
    int receivedBy = 0; ///< Number of the incarnation that received it.
    bool isLate = false; ///< It is carried out late.
};

} // namespace cranberryreel::soak
