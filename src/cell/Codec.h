#pragma once

#include "cell/generated/cell_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryreel::cell
{

/// Encodes an object of the cell's schema as a FlatBuffer.
template<typename Table>
std::string pack(const typename Table::NativeTableType &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

/// Decodes an object of the cell's schema; nothing if the bytes are not a valid table of this type.
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
