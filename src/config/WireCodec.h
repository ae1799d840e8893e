#pragma once

#include "config/generated/config_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <memory>
#include <string>
#include <string_view>

namespace cranberryreel::config
{

/// Encodes one table of schemas/config.fbs.
template<typename Object>
std::string encode(const Object &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Object::TableType::Pack(builder, &object));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Verifies and decodes one table; returns null when the bytes are invalid.
template<typename Object>
std::unique_ptr<Object> decode(std::string_view bytes)
{
    const std::string aligned(bytes); // Copied because FlatBuffers needs aligned data.
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(aligned.data()), aligned.size());
    if (!verifier.VerifyBuffer<typename Object::TableType>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<Object>(flatbuffers::GetRoot<typename Object::TableType>(aligned.data())->UnPack());
}

} // namespace cranberryreel::config
