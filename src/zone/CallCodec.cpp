#include "zone/CallCodec.h"

#include "zone/WireCodec.h"
#include "zone/WireTime.h"

#include <memory>
#include <utility>

namespace cranberryreel::zone
{

namespace
{

struct BodyEncoder {
    wire::CallBodyUnion &out;

    void operator()(const SubmitCall &call) const
    {
        wire::SubmitCallT body;
        body.spec = std::make_unique<wire::SpecT>(toWire(call.spec));
        body.remaining_ms = millisToWire(call.spec.deadline);
        body.may_exist = call.mayExist;
        this->out.Set(std::move(body));
    }

    void operator()(const LookupCall &call) const
    {
        wire::LookupCallT body;
        body.id = call.id;
        body.wait_ms = millisToWire(call.wait);
        this->out.Set(std::move(body));
    }

    void operator()(const CancelCall &call) const
    {
        wire::CancelCallT body;
        body.id = call.id;
        this->out.Set(std::move(body));
    }

    void operator()(const AnswerCall &call) const
    {
        wire::AnswerCallT body;
        body.id = call.id;
        body.offset = call.offset;
        this->out.Set(std::move(body));
    }

    void operator()(const AnnounceCall &call) const
    {
        wire::AnnounceCallT body;
        body.report = std::make_unique<wire::ReportT>(toWire(call.report));
        this->out.Set(std::move(body));
    }

    void operator()(const ViewCall &call) const
    {
        wire::ViewCallT body;
        body.what = call.what;
        body.filter = call.filter;
        this->out.Set(std::move(body));
    }

    void operator()(const DrainCall &call) const
    {
        wire::DrainCallT body;
        body.vm = call.vm;
        body.draining = call.draining;
        this->out.Set(std::move(body));
    }

    void operator()(const MembersCall &call) const
    {
        wire::MembersCallT body;
        for (const replication::Member &member : call.members) {
            auto item = std::make_unique<wire::GroupMemberT>();
            item->vm = member.vm;
            item->has_disk = member.hasDisk;
            item->witness = member.witness;
            body.members.push_back(std::move(item));
        }
        this->out.Set(std::move(body));
    }
};

std::optional<CallBody> decodeBody(const wire::CallBodyUnion &body)
{
    if (body.value == nullptr) {
        return std::nullopt;
    }
    switch (body.type) {
    case wire::CallBody::SubmitCall:
        if (const wire::SubmitCallT *call = body.AsSubmitCall(); call->spec) {
            SubmitCall out{fromWire(*call->spec), call->may_exist};
            out.spec.deadline = millisFromWire(call->remaining_ms);
            return out;
        }
        return std::nullopt;
    case wire::CallBody::LookupCall:
        return LookupCall{body.AsLookupCall()->id, millisFromWire(body.AsLookupCall()->wait_ms)};
    case wire::CallBody::CancelCall:
        return CancelCall{body.AsCancelCall()->id};
    case wire::CallBody::AnswerCall:
        return AnswerCall{body.AsAnswerCall()->id, body.AsAnswerCall()->offset};
    case wire::CallBody::AnnounceCall:
        if (const wire::AnnounceCallT *call = body.AsAnnounceCall(); call->report) {
            return AnnounceCall{fromWire(*call->report)};
        }
        return std::nullopt;
    case wire::CallBody::ViewCall:
        return ViewCall{body.AsViewCall()->what, body.AsViewCall()->filter};
    case wire::CallBody::DrainCall:
        return DrainCall{body.AsDrainCall()->vm, body.AsDrainCall()->draining};
    case wire::CallBody::MembersCall: {
        MembersCall out;
        for (const auto &member : body.AsMembersCall()->members) {
            out.members.push_back({member->vm, member->has_disk, member->witness});
        }
        return out;
    }
    case wire::CallBody::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encodeCall(const ZoneCall &call)
{
    wire::CallT out;
    out.zone = call.zone;
    std::visit(BodyEncoder{out.body}, call.body);
    return packTable<wire::Call>(out);
}

std::optional<ZoneCall> decodeCall(std::string_view bytes)
{
    wire::CallT in;
    if (!unpackTable<wire::Call>(bytes, in)) {
        return std::nullopt;
    }
    std::optional<CallBody> body = decodeBody(in.body);
    return body ? std::optional<ZoneCall>({in.zone, std::move(*body)}) : std::nullopt;
}

std::string encodeReply(ZoneReply reply)
{
    wire::ReplyT out;
    out.code = static_cast<int>(reply.code);
    out.reason = std::move(reply.reason);
    out.leader = std::move(reply.leader);
    out.epoch = reply.epoch;
    out.may_exist = reply.mayExist;
    out.next_in_ms = millisToWire(reply.nextAnnouncementIn);
    const std::uint64_t wholeBytes = reply.status.answer.size();
    if (wholeBytes > MaxPieceBytes) {
        reply.status.answer.resize(MaxPieceBytes);
    }
    out.status = std::make_unique<wire::StatusT>(toWire(reply.status));
    out.status->answer_bytes = wholeBytes;
    out.json = std::move(reply.json);
    out.piece = std::move(reply.piece);
    return packTable<wire::Reply>(out);
}

std::optional<ZoneReply> decodeReply(std::string_view bytes)
{
    wire::ReplyT in;
    if (!unpackTable<wire::Reply>(bytes, in)) {
        return std::nullopt;
    }
    ZoneReply out;
    out.code = static_cast<base::ResultCode>(in.code);
    out.reason = std::move(in.reason);
    out.leader = std::move(in.leader);
    out.epoch = in.epoch;
    out.mayExist = in.may_exist;
    out.nextAnnouncementIn = millisFromWire(in.next_in_ms);
    if (in.status) {
        out.status = fromWire(*in.status);
        out.answerBytes = in.status->answer_bytes;
    }
    out.json = std::move(in.json);
    out.piece = std::move(in.piece);
    return out;
}

std::string encodeBeacon(const Beacon &beacon)
{
    wire::BeaconT out;
    out.zone = beacon.zone;
    out.leader = beacon.leader;
    out.epoch = beacon.epoch;
    out.used = static_cast<float>(beacon.used);
    out.waiting = beacon.waiting;
    out.expected_wait_ms = static_cast<std::uint32_t>(millisToWire(beacon.expectedWait));
    out.placing = beacon.placing;
    out.room = beacon.freeRequestSlots;
    return packTable<wire::Beacon>(out);
}

std::optional<Beacon> decodeBeacon(std::string_view bytes)
{
    wire::BeaconT in;
    if (!unpackTable<wire::Beacon>(bytes, in)) {
        return std::nullopt;
    }
    return Beacon{in.zone, in.leader, in.epoch, in.used, in.waiting, millisFromWire(in.expected_wait_ms), in.placing, in.room};
}

} // namespace cranberryreel::zone
