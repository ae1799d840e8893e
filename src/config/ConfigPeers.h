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

/// Another VM's answer to fetch().
struct FetchReply {
    base::ResultCode code = base::ResultCode::LinkDown;
    bool ready = false; ///< The other VM is ready, so a VM that starts may rely on its revision.
    std::uint64_t revision = 0;
    std::optional<RevisionTexts> texts; ///< Set if the other VM's revision is higher than the caller's.
};

/// A group member's answer to change().
struct MemberReply {
    ChangeReply reply; ///< With code LinkDown, the member did not answer.
    std::string leader; ///< With NotLeader: the VM that leads the group; empty if unknown.
    bool sent = true; ///< False: the change was never sent to the member.
};

/// Peer calls from one VM's config service to those of other VMs. Owned by the config service; each callback runs exactly once, as a task of its worker.
class ConfigPeers
{
public:
    ConfigPeers(link::LinkHub &hub, std::shared_ptr<base::Mailbox> worker, std::string ownVm);

    bool isUp(const std::string &vm) const;
    void announce(const std::string &vm, std::uint64_t revision);

    /// Fetches the texts in force at the other VM. `known` holds the texts in force here; only the differences from them are transferred. With `confirmed`,
    /// the other VM, a group member, first makes sure that it has applied everything that the group has committed.
    void fetch(const std::string &vm, const RevisionTexts &known, bool confirmed, std::chrono::milliseconds limit, std::function<void(FetchReply)> done);
    void change(const std::string &vm, const Change &change, std::chrono::milliseconds limit, std::function<void(MemberReply)> done);

    /// Calls `done` with the other VM's revision once that is `atLeast` or `wait` has passed; with nullopt when the VM did not answer within the limit.
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
