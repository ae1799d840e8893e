#pragma once

#include "config/generated/config_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <memory>
#include <string>
#include <string_view>

namespace cranberryreel::config
{

/// Packs one table of schemas/config.fbs.
template<typename Object>
std::string encode(const Object &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Object::TableType::Pack(builder, &object));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Checks and unpacks one table; null when the bytes are not one.
template<typename Object>
std::unique_ptr<Object> decode(std::string_view bytes)
{
    const std::string aligned(bytes); // The bytes may begin anywhere; FlatBuffers reads whole words.
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(aligned.data()), aligned.size());
    if (!verifier.VerifyBuffer<typename Object::TableType>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<Object>(flatbuffers::GetRoot<typename Object::TableType>(aligned.data())->UnPack());
}

} // namespace cranberryreel::config
