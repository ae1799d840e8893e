#pragma once

#include "cell/UpstreamCalls.h"
#include "cell/generated/cell_generated.h"

#include <memory>

namespace cranberryreel::cell
{

/// Encode and decode calls to upstreams and their results for relaying through another VM.
std::unique_ptr<wire::RelayOrderT>
encodeStart(const UpstreamTarget &target, const StartRequest &request, std::chrono::milliseconds limit, bool freshConnection);
std::unique_ptr<wire::RelayOrderT> encodeStop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit);
std::unique_ptr<wire::RelayOrderT> encodeRenew(const UpstreamTarget &target, const RenewRequest &request, std::chrono::milliseconds limit);
std::unique_ptr<wire::RelayOrderT>
encodePace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit);

StartRequest decodeStart(const wire::RelayOrderT &relay);
RenewRequest decodeRenew(const wire::RelayOrderT &relay);

std::unique_ptr<wire::RelayResultT> encodeResult(const UpstreamCallResult &result);
std::unique_ptr<wire::RelayResultT> encodeResult(const RenewResult &result);

UpstreamCallResult decodeCallResult(const wire::RelayResultT &relay);
RenewResult decodeRenewResult(const wire::RelayResultT &relay);

} // namespace cranberryreel::cell
