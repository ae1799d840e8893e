#include "replication/DiskLogStore.h"

#include "replication/Codec.h"
#include "replication/LogFrame.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <fmt/format.h>

#include <utility>

#include <fcntl.h>

namespace cranberryreel::replication
{

namespace
{

constexpr const char *LogPrefix = "log-";
constexpr const char *SnapshotPrefix = "snapshot-";

std::string logName(std::uint64_t generation)
{
    return fmt::format("{}{:020}", LogPrefix, generation);
}

std::string snapshotName(LogPosition position)
{
    return fmt::format("{}{:020}-{:020}", SnapshotPrefix, position.index, position.term);
}

[[noreturn]] void throwDamaged(base::ResultCode code, const std::string &name)
{
    throw base::Error(code, fmt::format("{} is damaged. Move the data folder away to restart this member without its stored log.", name));
}

void appendRecoveredEntries(std::vector<Entry> entries, LogPosition base, Recovered &recovered, const std::string &name)
{
    for (Entry &entry : entries) {
        const std::uint64_t last = base.index + recovered.entries.size();
        if (entry.index <= base.index || entry.index > last + 1) {
            throwDamaged(base::ResultCode::LogCorrupt, name);
        }
        recovered.entries.resize(entry.index - base.index - 1);
        recovered.entries.push_back(std::move(entry));
    }
}

} // namespace

DiskLogStore::DiskLogStore(const std::string &path, FileOperations &fileOperations)
    : operations(&fileOperations)
    , folder(path, fileOperations)
{
}

DiskLogStore::Generations DiskLogStore::logFiles() const
{
    Generations generations;
    for (const std::string &name : this->folder.files()) {
        std::uint64_t number = 0;
        if (absl::EndsWith(name, ".tmp")) {
            this->folder.remove(name);
        } else if (absl::StartsWith(name, LogPrefix) && absl::SimpleAtoi(name.substr(std::string_view(LogPrefix).size()), &number)) {
            generations[number] = name;
        }
    }
    return generations;
}

template<typename Operation>
void DiskLogStore::checked(Operation operation)
{
    try {
        operation();
    } catch (const base::Error &) {
        this->mustRewrite = true;
        throw;
    }
}

/// After a failed sync the file system may drop the data and report later syncs as good, so files whose write failed are written anew.
Recovered DiskLogStore::recover()
{
    Recovered recovered;
    this->checked([this, &recovered] {
        if (this->mustRewrite) {
            this->folder.checkWritable();
        }
        const Generations generations = this->logFiles();
        if (generations.empty()) {
            this->generation = 0;
            this->hardState = HardState();
            LogBatch first;
            first.base = LogPosition();
            this->startLogFile(first);
            return;
        }
        const auto &[newest, name] = *generations.rbegin();
        const std::string file = this->folder.read(name);
        std::size_t validBytes = 0;
        recovered = this->readLog(file, name, validBytes);
        this->generation = newest;
        this->hardState = recovered.hardState;
        this->log = FileDescriptor(this->folder.pathOf(name), O_WRONLY | O_APPEND, *this->operations);
        if (validBytes < file.size()) {
            this->log.truncate(validBytes);
            this->log.sync();
        }
        this->removeObsoleteFiles(recovered.snapshot ? recovered.snapshot->index : 0);
        if (this->mustRewrite) {
            this->replaceAll(recovered.snapshot ? *recovered.snapshot : Snapshot(), recovered.hardState, recovered.entries);
        }
    });
    this->mustRewrite = false;
    return recovered;
}

Recovered DiskLogStore::readLog(std::string_view file, const std::string &name, std::size_t &validBytes) const
{
    Recovered recovered;
    LogPosition base;
    std::size_t offset = 0;
    while (const auto frame = LogFrame::read(file, offset)) {
        auto batch = Codec::decodeBatch(frame->payload);
        if (!batch || batch->base.has_value() != (offset == 0)) {
            throwDamaged(base::ResultCode::LogCorrupt, name);
        }
        base = batch->base.value_or(base);
        recovered.hardState = batch->hardState.value_or(recovered.hardState);
        appendRecoveredEntries(std::move(batch->entries), base, recovered, name);
        offset = frame->next;
    }
    // The file is created atomically with its first frame, so that frame cannot be torn.
    if (offset == 0 || LogFrame::hasFrameAfter(file, offset)) {
        throwDamaged(base::ResultCode::LogCorrupt, name);
    }
    validBytes = offset;
    if (base.index > 0) {
        const std::string snapshotFile = snapshotName(base);
        std::optional<Snapshot> snapshot;
        try {
            snapshot = Codec::decodeSnapshot(this->folder.read(snapshotFile));
        } catch (const base::Error &) {
            throwDamaged(base::ResultCode::SnapshotCorrupt, snapshotFile);
        }
        if (!snapshot || snapshot->index != base.index || snapshot->term != base.term) {
            throwDamaged(base::ResultCode::SnapshotCorrupt, snapshotFile);
        }
        recovered.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    }
    return recovered;
}

void DiskLogStore::write(const CoreOutput &output)
{
    this->checked([this, &output] {
        this->hardState = output.hardState.value_or(this->hardState);
        if (output.snapshot) {
            this->replaceAll(*output.snapshot, this->hardState, output.entries);
        } else {
            this->append(output);
        }
    });
}

void DiskLogStore::append(const CoreOutput &output)
{
    LogBatch batch;
    batch.hardState = output.hardState;
    batch.entries = output.entries;
    this->log.writeAll(LogFrame::encode(Codec::encode(batch)));
    if (output.mustSync) {
        this->log.sync();
    }
}

void DiskLogStore::compact(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter)
{
    this->checked([&] { this->replaceAll(snapshot, state, entriesAfter); });
}

void DiskLogStore::replaceAll(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter)
{
    this->hardState = state;
    const LogPosition position{snapshot.term, snapshot.index};
    if (snapshot.index > 0) {
        this->folder.replace(snapshotName(position), Codec::encode(snapshot));
    }
    LogBatch first;
    first.base = position;
    first.hardState = state;
    first.entries = entriesAfter;
    this->startLogFile(first);
    this->removeObsoleteFiles(snapshot.index);
}

void DiskLogStore::startLogFile(const LogBatch &first)
{
    ++this->generation;
    const std::string name = logName(this->generation);
    this->folder.replace(name, LogFrame::encode(Codec::encode(first)));
    this->log = FileDescriptor(this->folder.pathOf(name), O_WRONLY | O_APPEND, *this->operations);
}

void DiskLogStore::removeObsoleteFiles(std::uint64_t snapshotIndex) const
{
    const std::string currentLog = logName(this->generation);
    const std::string currentSnapshot = fmt::format("{}{:020}-", SnapshotPrefix, snapshotIndex);
    for (const std::string &name : this->folder.files()) {
        const bool oldLog = absl::StartsWith(name, LogPrefix) && name < currentLog;
        const bool oldSnapshot = absl::StartsWith(name, SnapshotPrefix) && !absl::StartsWith(name, currentSnapshot);
        if (oldLog || oldSnapshot) {
            this->folder.remove(name);
        }
    }
}

} // namespace cranberryreel::replication
