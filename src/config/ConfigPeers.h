#pragma once

#include "base/Mailbox.h"
#include "config/ConfigService.h"
#include "config/ConfigStore.h"
#include "link/LinkHub.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberryreel::config
{

/// Another VM's answer to a fetch.
struct FetchReply {
    base::ResultCode code = base::ResultCode::LinkDown;
    bool ready = false; ///< The other VM serves, so that its revision counts for one that starts.
    std::uint64_t revision = 0;
    std::optional<RevisionTexts> texts; ///< Where its revision is above the asker's.
};

/// A member's answer to a change.
struct MemberReply {
    ChangeReply reply; ///< Code LinkDown: the member did not answer.
    std::string leader; ///< With NotLeader: whom to ask instead, if known.
    bool sent = true; ///< False: the member never saw the change.
};

/// The calls of one config service to those of other VMs. Owned by the service; callbacks run as tasks of its worker, once each.
class ConfigPeers
{
public:
    ConfigPeers(link::LinkHub &hub, std::shared_ptr<base::Mailbox> worker, std::string ownVm);

    bool isUp(const std::string &vm) const;
    void announce(const std::string &vm, std::uint64_t revision);

    /// `have` is what is in force here; the answer's texts are differences from it on the wire. With `confirmed` the other VM, a member, first makes sure
    /// that it has all that the group committed before.
    void fetch(const std::string &vm, const RevisionTexts &have, bool confirmed, std::chrono::milliseconds limit, std::function<void(FetchReply)> done);
    void change(const std::string &vm, const Change &change, std::chrono::milliseconds limit, std::function<void(MemberReply)> done);

    /// Tells the other VM's revision as soon as it is `atLeast`, at the latest after `wait`; nothing when it did not answer within the limit.
    void revision(const std::string &vm,
                  std::uint64_t atLeast,
                  std::chrono::milliseconds wait,
                  std::chrono::milliseconds limit,
                  std::function<void(std::optional<std::uint64_t>)> done);

private:
    void call(const std::string &vm, std::string payload, std::chrono::milliseconds limit, std::function<void(const link::CallResult &)> done);

    link::LinkHub &hub;
    const std::shared_ptr<base::Mailbox> worker;
    const std::string ownVm;
};

} // namespace cranberryreel::config
