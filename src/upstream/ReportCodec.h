#pragma once

#include "cranberryreel/model/UpstreamReport.h"
#include "http/JsonReader.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cranberryreel::upstream
{

/// Whether unknown fields are errors (Strict) or ignored (Lenient).
enum class Strictness : std::uint8_t {
    Strict,
    Lenient,
};

nlohmann::json taskReportToJson(const model::TaskReport &report);
nlohmann::json upstreamReportToJson(const model::UpstreamReport &report);

/// Both throw base::Error with the name of the invalid field.
model::TaskReport taskReportFrom(http::JsonReader reader, Strictness strictness);
model::UpstreamReport upstreamReportFrom(http::JsonReader reader, Strictness strictness);

} // namespace cranberryreel::upstream
