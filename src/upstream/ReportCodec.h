#pragma once

#include "cranberryreel/model/UpstreamReport.h"
#include "http/JsonReader.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cranberryreel::upstream
{

/// Whether fields that the reader does not know are errors, or passed over.
enum class Strictness : std::uint8_t {
    Strict,
    Lenient,
};

nlohmann::json taskReportToJson(const model::TaskReport &report);
nlohmann::json upstreamReportToJson(const model::UpstreamReport &report);

/// Both throw base::Error naming the field.
model::TaskReport taskReportFrom(http::JsonReader reader, Strictness strictness);
model::UpstreamReport upstreamReportFrom(http::JsonReader reader, Strictness strictness);

} // namespace cranberryreel::upstream
