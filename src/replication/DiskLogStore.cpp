#include "replication/DiskLogStore.h"

#include "observe/Log.h"
#include "replication/Codec.h"
#include "replication/LogFrame.h"

#include "cranberryreel/base/Error.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include <fcntl.h>

namespace cranberryreel::replication
{

namespace
{

constexpr const char *LogPrefix = "log-";
constexpr const char *SnapshotPrefix = "snapshot-";

const observe::Log &logger()
{
    static const observe::Log instance("replication");
    return instance;
}

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
    std::string snapshotFile;
    for (const std::string &name : this->folder.files()) {
        std::uint64_t number = 0;
        if (absl::EndsWith(name, ".tmp")) {
            this->folder.tryRemove(name);
        } else if (absl::StartsWith(name, SnapshotPrefix)) {
            snapshotFile = name;
        } else if (absl::StartsWith(name, LogPrefix) && absl::SimpleAtoi(name.substr(std::string_view(LogPrefix).size()), &number)) {
            generations[number] = name;
        }
    }
    if (generations.empty() && !snapshotFile.empty()) {
        throwDamaged(base::ResultCode::LogCorrupt, "The log beside " + this->folder.pathOf(snapshotFile));
    }
    return generations;
}

Recovered DiskLogStore::recover()
{
    const bool afterFailure = std::exchange(this->mustRecover, true);
    Recovered recovered;
    const Generations generations = this->logFiles();
    if (generations.empty()) {
        this->generation = 0;
        this->hardState = HardState();
        this->position = LogPosition();
        LogBatch first;
        first.base = this->position;
        this->startLogFile(first);
    } else {
        const auto &[newest, name] = *generations.rbegin();
        recovered = afterFailure ? this->recoverAfterFailure(newest, name) : this->useLog(newest, name, std::numeric_limits<std::size_t>::max());
    }
    this->syncedGeneration = this->generation;
    this->mustRecover = false;
    return recovered;
}

/// After a failed sync the file system may drop what was written since the last good one and report later syncs as good. What is known to be synced is kept
/// and, if there is space, written to a new file; a file of which that is not known must be written anew.
Recovered DiskLogStore::recoverAfterFailure(std::uint64_t newest, const std::string &name)
{
    const bool knowsSynced = newest == this->syncedGeneration;
    Recovered recovered = this->useLog(newest, name, knowsSynced ? this->syncedBytes : std::numeric_limits<std::size_t>::max());
    this->folder.checkWritable();
    LogBatch all;
    all.base = this->position;
    all.hardState = recovered.hardState;
    all.entries = recovered.entries;
    const std::string rewritten = logName(newest + 1);
    try {
        this->startLogFile(all);
    } catch (const base::Error &error) {
        if (!knowsSynced || this->mayExist(rewritten)) {
            throw;
        }
        logger().warn("The log cannot be written to a new file; {} stays in use: {}", this->folder.pathOf(name), error.what());
    }
    this->removeObsoleteFiles();
    return recovered;
}

/// Reads the log file, at most up to `maxBytes`, and continues it.
Recovered DiskLogStore::useLog(std::uint64_t newest, const std::string &name, std::size_t maxBytes)
{
    std::string file = this->folder.read(name);
    const std::size_t fileBytes = file.size();
    file.resize(std::min(fileBytes, maxBytes));
    std::size_t validBytes = 0;
    Recovered recovered = this->readLog(file, name, validBytes);
    this->openLog(name);
    if (validBytes < fileBytes) {
        this->log.truncate(validBytes);
    }
    this->log.sync();
    this->folder.sync(); // The name of the newest log must be durable before the older files are removed.
    this->generation = newest;
    this->hardState = recovered.hardState;
    this->position = recovered.snapshot ? LogPosition{recovered.snapshot->term, recovered.snapshot->index} : LogPosition();
    this->logBytes = validBytes;
    this->syncedBytes = validBytes;
    this->removeObsoleteFiles();
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
        if (!this->mayExist(snapshotFile)) {
            throwDamaged(base::ResultCode::SnapshotCorrupt, snapshotFile);
        }
        std::optional<Snapshot> snapshot = Codec::decodeSnapshot(this->folder.read(snapshotFile));
        if (!snapshot || snapshot->index != base.index || snapshot->term != base.term) {
            throwDamaged(base::ResultCode::SnapshotCorrupt, snapshotFile);
        }
        recovered.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    }
    return recovered;
}

void DiskLogStore::write(const CoreOutput &output)
{
    if (this->mustRecover) {
        throw base::Error(base::ResultCode::StorageWriteFailed, "An earlier write failed; the log must be read back first.");
    }
    try {
        this->hardState = output.hardState.value_or(this->hardState);
        if (output.snapshot) {
            this->replaceAll(*output.snapshot, this->hardState, output.entries);
        } else {
            this->append(output);
        }
    } catch (const base::Error &) {
        this->mustRecover = true;
        throw;
    }
}

void DiskLogStore::append(const CoreOutput &output)
{
    LogBatch batch;
    batch.hardState = output.hardState;
    batch.entries = output.entries;
    const std::string frame = LogFrame::encode(Codec::encode(batch));
    this->log.writeAll(frame);
    this->logBytes += frame.size();
    if (output.mustSync) {
        this->log.sync();
        this->syncedBytes = this->logBytes;
    }
}

void DiskLogStore::compact(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter)
{
    const std::string newLog = logName(this->generation + 1);
    try {
        this->replaceAll(snapshot, state, entriesAfter);
    } catch (const base::Error &) {
        // A restart reads the new log file if it has got its name, so that the old one must not be continued.
        this->mustRecover = this->mustRecover || this->mayExist(newLog);
        if (!this->mustRecover) {
            this->removeObsoleteFiles();
        }
        throw;
    }
}

void DiskLogStore::replaceAll(const Snapshot &snapshot, const HardState &state, const std::vector<Entry> &entriesAfter)
{
    const LogPosition newPosition{snapshot.term, snapshot.index};
    if (snapshot.index > 0) {
        this->folder.replace(snapshotName(newPosition), Codec::encode(snapshot));
    }
    LogBatch first;
    first.base = newPosition;
    first.hardState = state;
    first.entries = entriesAfter;
    this->startLogFile(first);
    this->position = newPosition;
    this->hardState = state;
    this->removeObsoleteFiles();
}

void DiskLogStore::startLogFile(const LogBatch &first)
{
    const std::string name = logName(this->generation + 1);
    const std::string frame = LogFrame::encode(Codec::encode(first));
    this->folder.replace(name, frame);
    this->openLog(name);
    ++this->generation;
    this->syncedGeneration = this->generation;
    this->logBytes = frame.size();
    this->syncedBytes = frame.size();
}

void DiskLogStore::openLog(const std::string &name)
{
    this->log = FileDescriptor(this->folder.pathOf(name), O_WRONLY | O_APPEND, *this->operations);
}

void DiskLogStore::removeObsoleteFiles() const
{
    const std::string currentLog = logName(this->generation);
    const std::string currentSnapshot = snapshotName(this->position);
    try {
        for (const std::string &name : this->folder.files()) {
            const bool oldLog = absl::StartsWith(name, LogPrefix) && name < currentLog;
            const bool oldSnapshot = absl::StartsWith(name, SnapshotPrefix) && name != currentSnapshot;
            if (oldLog || oldSnapshot) {
                this->folder.remove(name);
            }
        }
    } catch (const base::Error &error) {
        logger().warn("Old files of the log are left behind: {}", error.what());
    }
}

bool DiskLogStore::mayExist(const std::string &name) const
{
    try {
        const std::vector<std::string> names = this->folder.files();
        return std::find(names.begin(), names.end(), name) != names.end();
    } catch (const base::Error &error) {
        logger().warn("It is not known whether {} exists: {}", name, error.what());
        return true;
    }
}

} // namespace cranberryreel::replication
