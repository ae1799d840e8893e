#pragma once

#include "cell/generated/cell_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// Packs one object of the cell's schema.
template<typename Table>
std::string pack(const typename Table::NativeTableType &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

/// The object, or nothing when the bytes are no such table.
template<typename Table>
std::optional<typename Table::NativeTableType> unpack(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!verifier.VerifyBuffer<Table>()) {
        return std::nullopt;
    }
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&object);
    return object;
}

} // namespace cranberryreel::cell
