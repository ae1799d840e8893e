#include "link/Frames.h"

#include "link/FrameReader.h"

#include "cranberryreel/base/Error.h"

namespace cranberryreel::link
{

namespace
{

constexpr flatbuffers::uoffset_t MaxNesting = 8;
constexpr flatbuffers::uoffset_t MaxTables = 32;

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> addBytes(Builder &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

template<typename Table>
std::string finish(Builder &builder, wire::Body type, flatbuffers::Offset<Table> body)
{
    builder.Finish(wire::CreateFrame(builder, type, body.Union()));
    return framed({reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
}

} // namespace

std::string heartbeatFrame(Heartbeat heartbeat)
{
    const char body = static_cast<char>(heartbeat);
    return framed({&body, 1});
}

std::string messageFrame(Channel channel, const std::string &payload)
{
    Builder builder(payload.size() + FrameOverheadBytes);
    const auto bytes = addBytes(builder, payload);
    return finish(builder, wire::Body::Message, wire::CreateMessage(builder, static_cast<std::uint8_t>(channel), bytes));
}

std::string callFrame(Channel channel, std::uint64_t id, const std::string &traceparent, const std::string &payload)
{
    Builder builder(payload.size() + FrameOverheadBytes);
    const auto bytes = addBytes(builder, payload);
    const auto parent = builder.CreateString(traceparent);
    return finish(builder, wire::Body::Call, wire::CreateCall(builder, static_cast<std::uint8_t>(channel), id, parent, bytes));
}

std::string answerFrame(std::uint64_t id, base::ResultCode code, const std::string &payload)
{
    Builder builder(payload.size() + FrameOverheadBytes);
    const auto bytes = addBytes(builder, payload);
    return finish(builder, wire::Body::Answer, wire::CreateAnswer(builder, id, static_cast<std::int32_t>(code), bytes));
}

std::string bodyFrame(const wire::BodyUnion &body)
{
    Builder builder(FrameOverheadBytes);
    builder.Finish(wire::CreateFrame(builder, body.type, body.Pack(builder)));
    return framed({reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()});
}

const wire::Frame &parseFrame(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), MaxNesting, MaxTables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        throw base::Error(base::ResultCode::LinkFrameInvalid, "A frame is not a valid FlatBuffer.");
    }
    const wire::Frame &frame = *wire::GetFrame(data);
    if (frame.body() == nullptr) {
        throw base::Error(base::ResultCode::LinkFrameInvalid, "A frame has no body.");
    }
    return frame;
}

std::string readBytes(const flatbuffers::Vector<std::uint8_t> *field)
{
    if (field == nullptr) {
        return {};
    }
    return {reinterpret_cast<const char *>(field->data()), field->size()};
}

std::string readString(const flatbuffers::String *field)
{
    return field == nullptr ? std::string() : field->str();
}

} // namespace cranberryreel::link
