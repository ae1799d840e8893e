#include "cell/CellStore.h"

#include "cell/Codec.h"
#include "observe/Log.h"

#include <utility>

namespace cranberryreel::cell
{

namespace
{

const observe::Log Logger("cell");

} // namespace

std::string CellStore::apply(std::uint64_t index, std::string_view command)
{
    const std::optional<wire::CommandT> decoded = unpack<wire::Command>(command);
    if (!decoded) {
        Logger.error("event=command_unreadable index={} bytes={}", index, command.size());
        return {};
    }
    const absl::MutexLock lock(&this->mutex);
    this->state.apply(*decoded);
    return {};
}

std::string CellStore::snapshot() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->state.encode();
}

void CellStore::restore(std::string_view bytes)
{
    CellState restored = CellState::decode(bytes);
    const absl::MutexLock lock(&this->mutex);
    this->state = std::move(restored);
}

} // namespace cranberryreel::cell
