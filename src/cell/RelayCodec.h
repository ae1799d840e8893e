#pragma once

#include "cell/UpstreamCalls.h"
#include "cell/generated/cell_generated.h"

#include <memory>

namespace cranberryreel::cell
{

/// Calls to upstreams and their answers as one VM hands them to another.
std::unique_ptr<wire::RelayOrderT> relayStart(const UpstreamTarget &target, const RunOrder &order, std::chrono::milliseconds limit, bool freshConnection);
std::unique_ptr<wire::RelayOrderT> relayStop(const UpstreamTarget &target, const RunName &run, std::uint64_t epoch, std::chrono::milliseconds limit);
std::unique_ptr<wire::RelayOrderT> relayRenew(const UpstreamTarget &target, const RenewOrder &order, std::chrono::milliseconds limit);
std::unique_ptr<wire::RelayOrderT>
relayPace(const UpstreamTarget &target, const RunName &run, int percent, std::uint64_t epoch, std::chrono::milliseconds limit);

RunOrder startOf(const wire::RelayOrderT &relay);
RenewOrder renewOf(const wire::RelayOrderT &relay);

std::unique_ptr<wire::RelayResultT> relayResult(const OrderResult &result);
std::unique_ptr<wire::RelayResultT> relayResult(const RenewResult &result);

OrderResult orderResultOf(const wire::RelayResultT &relay);
RenewResult renewResultOf(const wire::RelayResultT &relay);

} // namespace cranberryreel::cell
