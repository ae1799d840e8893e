#pragma once

#include "cranberryreel/model/JobSpec.h"
#include "cranberryreel/model/JobStatus.h"
#include "cranberryreel/model/UpstreamReport.h"
#include "zone/JobRecord.h"
#include "zone/TaskChange.h"
#include "zone/UpstreamRecord.h"
#include "zone/generated/zone_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <string>
#include <string_view>

namespace cranberryreel::zone
{

// Conversions between value types and the object types generated from the zone schema.

wire::Size toWire(const model::Resources &size);
model::Resources fromWire(const wire::Size *size);
wire::SpecT toWire(const model::JobSpec &spec);
model::JobSpec fromWire(const wire::SpecT &spec);
wire::JobT toWire(const JobRecord &job);
JobRecord fromWire(const wire::JobT &job);
wire::UpstreamT toWire(const UpstreamRecord &upstream);
UpstreamRecord fromWire(const wire::UpstreamT &upstream);
wire::TaskChangeT toWire(const TaskChange &change);
TaskChange fromWire(const wire::TaskChangeT &change);
wire::StatusT toWire(const model::JobStatus &status);
model::JobStatus fromWire(const wire::StatusT &status);
wire::ReportT toWire(const model::UpstreamReport &report);
model::UpstreamReport fromWire(const wire::ReportT &report);

/// Serializes one root table.
template<typename Table>
std::string packTable(const typename Table::NativeTableType &native)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &native));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Reads one root table into `native`; returns false if the bytes do not pass verification.
template<typename Table>
bool unpackTable(std::string_view bytes, typename Table::NativeTableType &native)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (bytes.size() < sizeof(flatbuffers::uoffset_t) || !verifier.VerifyBuffer<Table>(nullptr)) {
        return false;
    }
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&native);
    return true;
}

} // namespace cranberryreel::zone
