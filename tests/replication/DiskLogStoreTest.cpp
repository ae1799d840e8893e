#include "LimitedDisk.h"
#include "TestSeed.h"
#include "support/TemporaryFolder.h"

#include "replication/DiskLogStore.h"

#include "cranberryreel/base/Error.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <random>

#include <sys/resource.h>

using namespace cranberryreel;
using namespace cranberryreel::replication;

namespace
{

CoreOutput entriesFrom(std::uint64_t first, std::uint64_t count, std::uint64_t term = 1)
{
    CoreOutput output;
    for (std::uint64_t index = first; index < first + count; ++index) {
        output.entries.push_back(Entry{index, term, EntryKind::Command, "command " + std::to_string(index)});
    }
    output.mustSync = true;
    return output;
}

CoreOutput vote(std::uint64_t term, const std::string &candidate)
{
    CoreOutput output;
    output.hardState = HardState{term, candidate, true};
    output.mustSync = true;
    return output;
}

/// Path of the only file whose name starts with the prefix.
std::string fileNamed(const support::TemporaryFolder &folder, const std::string &prefix)
{
    for (const auto &item : std::filesystem::directory_iterator(folder.name())) {
        if (item.path().filename().string().rfind(prefix, 0) == 0) {
            return item.path().string();
        }
    }
    return "";
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

void writeFile(const std::string &path, const std::string &bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

/// Writes a vote and then three batches of five entries.
void fill(const support::TemporaryFolder &folder)
{
    DiskLogStore store(folder.name());
    store.recover();
    store.write(vote(7, "c2"));
    store.write(entriesFrom(1, 5));
    store.write(entriesFrom(6, 5));
    store.write(entriesFrom(11, 5));
}

auto withCode(base::ResultCode code)
{
    return [code](const base::Error &error) { return error.code() == code; };
}

/// While it exists, files of this process cannot grow beyond a size: a write stores what still fits and then fails, as on a full disk.
class FileSizeLimit
{
public:
    explicit FileSizeLimit(rlim_t bytes)
        : previousHandler(std::signal(SIGXFSZ, SIG_IGN))
    {
        getrlimit(RLIMIT_FSIZE, &this->previous);
        const rlimit limited{bytes, this->previous.rlim_max};
        setrlimit(RLIMIT_FSIZE, &limited);
    }
    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;

    ~FileSizeLimit()
    {
        setrlimit(RLIMIT_FSIZE, &this->previous);
        std::signal(SIGXFSZ, this->previousHandler);
    }

private:
    rlimit previous{};
    void (*previousHandler)(int);
};

std::uint64_t filesIn(const support::TemporaryFolder &folder)
{
    return static_cast<std::uint64_t>(std::distance(std::filesystem::directory_iterator(folder.name()), std::filesystem::directory_iterator()));
}

Snapshot snapshotAt(std::uint64_t index, std::size_t stateBytes)
{
    Snapshot snapshot;
    snapshot.index = index;
    snapshot.term = 1;
    snapshot.record.members = Membership({Member{"c1", true, false}});
    snapshot.state = std::string(stateBytes, 'x');
    return snapshot;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DiskLogStoreTest)

BOOST_AUTO_TEST_CASE(aRestartReadsWhatWasWritten)
{
    const support::TemporaryFolder folder;
    fill(folder);
    DiskLogStore store(folder.name());
    const Recovered recovered = store.recover();
    BOOST_TEST(recovered.hardState.term == 7U);
    BOOST_TEST(recovered.hardState.votedFor == "c2");
    BOOST_TEST(recovered.entries.size() == 15U);
    BOOST_TEST(recovered.entries.back().data == "command 15");
}

BOOST_AUTO_TEST_CASE(aLaterEntryReplacesAllFromItsIndexOn)
{
    const support::TemporaryFolder folder;
    fill(folder);
    {
        DiskLogStore store(folder.name());
        store.recover();
        store.write(entriesFrom(4, 1, 2));
    }
    DiskLogStore store(folder.name());
    const Recovered recovered = store.recover();
    BOOST_TEST(recovered.entries.size() == 4U);
    BOOST_TEST(recovered.entries.back().term == 2U);
}

BOOST_AUTO_TEST_CASE(aPartlyWrittenBatchIsDroppedAndTheStoreGoesOnOnceThereIsSpace)
{
    const support::TemporaryFolder folder;
    fill(folder);
    const std::size_t wholeSize = readFile(fileNamed(folder, "log-")).size();
    DiskLogStore store(folder.name());
    store.recover();
    for (const std::size_t partBytes : {0U, 1U, 9U, 60U}) {
        const FileSizeLimit full(wholeSize + partBytes);
        BOOST_CHECK_EXCEPTION(store.write(entriesFrom(16, 5)), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    }
    {
        const FileSizeLimit full(1000);
        BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    }
    BOOST_TEST(store.recover().entries.size() == 15U);
    store.write(entriesFrom(16, 2));
    DiskLogStore restarted(folder.name());
    const Recovered recovered = restarted.recover();
    BOOST_TEST(recovered.entries.size() == 17U);
    BOOST_TEST(recovered.hardState.votedFor == "c2");
}

BOOST_AUTO_TEST_CASE(afterAFailedWriteTheRecoveredLogIsWrittenAnew)
{
    const support::TemporaryFolder folder;
    fill(folder);
    const std::string before = fileNamed(folder, "log-");
    DiskLogStore store(folder.name());
    store.recover();
    BOOST_TEST(fileNamed(folder, "log-") == before);
    {
        const FileSizeLimit full(readFile(before).size());
        BOOST_CHECK_EXCEPTION(store.write(entriesFrom(16, 5)), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    }
    store.recover();
    BOOST_TEST(fileNamed(folder, "log-") != before);
    BOOST_TEST(!std::filesystem::exists(before));
}

BOOST_AUTO_TEST_CASE(aSnapshotThatDoesNotFitLeavesTheLogInUse)
{
    const support::TemporaryFolder folder;
    fill(folder);
    DiskLogStore store(folder.name());
    store.recover();
    Snapshot snapshot;
    snapshot.index = 10;
    snapshot.term = 1;
    snapshot.state = std::string(100000, 'x');
    {
        const FileSizeLimit full(50000);
        BOOST_CHECK_EXCEPTION(store.compact(snapshot, HardState{7, "c2", true}, {}), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    }
    const Recovered recovered = store.recover();
    BOOST_TEST(!recovered.snapshot);
    BOOST_TEST(recovered.entries.size() == 15U);
}

BOOST_AUTO_TEST_CASE(aCompactionThatDoesNotFitReturnsItsSpaceAndTheLogIsAppended)
{
    const support::TemporaryFolder folder;
    fill(folder);
    LimitedDisk disk(folder.name());
    DiskLogStore store(folder.name(), disk);
    store.recover();
    const std::size_t usedBefore = disk.usedBytes();
    // The snapshot does not fit; then the snapshot fits but not the log after it.
    for (const std::size_t stateBytes : {8000U, 3500U}) {
        disk.setBudget(usedBefore + 4096);
        CoreOutput rest = entriesFrom(11, 5);
        rest.entries.back().data = std::string(2000, 'y');
        BOOST_CHECK_EXCEPTION(
            store.compact(snapshotAt(10, stateBytes), HardState{7, "c2", true}, rest.entries), base::Error, withCode(base::ResultCode::StorageWriteFailed));
        BOOST_TEST(disk.usedBytes() == usedBefore);
        BOOST_TEST(filesIn(folder) == 1U);
    }
    store.write(entriesFrom(16, 2));
    disk.setBudget(1000000);
    store.compact(snapshotAt(10, 8000), HardState{7, "c2", true}, entriesFrom(11, 7).entries);
    store.write(entriesFrom(18, 1));
    DiskLogStore restarted(folder.name());
    const Recovered recovered = restarted.recover();
    BOOST_TEST_REQUIRE(recovered.snapshot != nullptr);
    BOOST_TEST(recovered.snapshot->index == 10U);
    BOOST_TEST(recovered.entries.size() == 8U);
    BOOST_TEST(recovered.hardState.votedFor == "c2");
}

/// Whichever sync of a compaction fails, what the store accepts afterwards is what a restart reads.
BOOST_AUTO_TEST_CASE(afterAnyFailedSyncOfACompactionNothingAcceptedIsLost)
{
    for (int succeeding = 0; succeeding < 5; ++succeeding) {
        const support::TemporaryFolder folder;
        fill(folder);
        LimitedDisk disk(folder.name());
        DiskLogStore store(folder.name(), disk);
        Recovered recovered = store.recover();
        disk.failSyncsAfter(succeeding);
        try {
            store.compact(snapshotAt(10, 100), recovered.hardState, entriesFrom(11, 5).entries);
        } catch (const base::Error &error) {
            BOOST_TEST((error.code() == base::ResultCode::StorageWriteFailed));
        }
        disk.failSyncsAfter(std::numeric_limits<int>::max());
        try {
            store.write(entriesFrom(16, 1));
        } catch (const base::Error &) {
            store.recover();
            store.write(entriesFrom(16, 1));
        }
        DiskLogStore restarted(folder.name());
        recovered = restarted.recover();
        BOOST_TEST_CONTEXT("syncs before the failed one: " << succeeding)
        {
            BOOST_TEST_REQUIRE(!recovered.entries.empty());
            BOOST_TEST(recovered.entries.back().index == 16U);
            BOOST_TEST((recovered.snapshot ? recovered.snapshot->index : 0) + recovered.entries.size() == 16U);
        }
    }
}

BOOST_AUTO_TEST_CASE(aLogThatCannotBeWrittenAnewIsUsedAgainOnceABatchFits)
{
    const support::TemporaryFolder folder;
    LimitedDisk disk(folder.name());
    DiskLogStore store(folder.name(), disk);
    store.recover();
    CoreOutput large = entriesFrom(1, 5);
    large.entries.back().data = std::string(50000, 'x');
    store.write(large);
    disk.setBudget(disk.usedBytes() + 10);
    BOOST_CHECK_EXCEPTION(store.write(entriesFrom(6, 5)), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    disk.setBudget(disk.usedBytes() + 8192);
    BOOST_TEST(store.recover().entries.size() == 5U);
    store.write(entriesFrom(6, 2));
    DiskLogStore restarted(folder.name());
    BOOST_TEST(restarted.recover().entries.size() == 7U);
}

BOOST_AUTO_TEST_CASE(afterAFailedSyncOnlySyncedEntriesAreRecoveredFromALogThatCannotBeWrittenAnew)
{
    const support::TemporaryFolder folder;
    LimitedDisk disk(folder.name());
    DiskLogStore store(folder.name(), disk);
    store.recover();
    CoreOutput large = entriesFrom(1, 5);
    large.entries.back().data = std::string(50000, 'x');
    store.write(large);
    disk.failSyncsAfter(0);
    BOOST_CHECK_EXCEPTION(store.write(entriesFrom(6, 5)), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    disk.failSyncsAfter(std::numeric_limits<int>::max());
    disk.setBudget(disk.usedBytes() + 8192);
    BOOST_TEST(store.recover().entries.size() == 5U);
    DiskLogStore restarted(folder.name());
    BOOST_TEST(restarted.recover().entries.size() == 5U);
}

/// A crash between the new log file and the removal of the old files leaves both; their space may be all that is missing.
BOOST_AUTO_TEST_CASE(aFullDiskIsFreedOfWhatAnInterruptedCompactionLeft)
{
    const support::TemporaryFolder folder;
    LimitedDisk disk(folder.name());
    DiskLogStore store(folder.name(), disk);
    store.recover();
    store.write(entriesFrom(1, 5));
    disk.setBudget(disk.usedBytes() + 10);
    BOOST_CHECK_EXCEPTION(store.write(entriesFrom(6, 5)), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    for (const std::string name : {"/log-00000000000000000009.tmp", "/log-00000000000000000000", "/snapshot-00000000000000000007-00000000000000000001"}) {
        writeFile(folder.name() + name, std::string(8192, 'x'));
    }
    disk.setBudget(disk.usedBytes());
    BOOST_TEST(store.recover().entries.size() == 5U);
    BOOST_TEST(filesIn(folder) == 1U);
    store.write(entriesFrom(6, 5));
}

/// A process may end between a write and its sync; the next one reads what was written and must not take it for synced.
BOOST_AUTO_TEST_CASE(aRestartSyncsWhatItReads)
{
    const support::TemporaryFolder folder;
    fill(folder);
    LimitedDisk disk(folder.name());
    DiskLogStore store(folder.name(), disk);
    disk.failSyncsAfter(0);
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    const std::string before = fileNamed(folder, "log-");
    disk.failSyncsAfter(std::numeric_limits<int>::max());
    disk.setBudget(disk.usedBytes());
    for (int i = 0; i < 2; ++i) {
        BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    }
    disk.setBudget(1000000);
    BOOST_TEST(store.recover().entries.size() == 15U);
    BOOST_TEST(fileNamed(folder, "log-") != before);
}

BOOST_AUTO_TEST_CASE(aSnapshotWithoutItsLogIsRefused)
{
    const support::TemporaryFolder folder;
    {
        DiskLogStore store(folder.name());
        store.recover();
        store.compact(snapshotAt(3, 10), HardState(), {});
    }
    std::filesystem::remove(fileNamed(folder, "log-"));
    DiskLogStore store(folder.name());
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::LogCorrupt));
}

BOOST_AUTO_TEST_CASE(aTornEndIsTruncated)
{
    const support::TemporaryFolder folder;
    fill(folder);
    const std::string path = fileNamed(folder, "log-");
    const std::string whole = readFile(path);
    std::size_t lastWhole = 15;
    for (std::size_t length = whole.size() - 1; length > whole.size() - 350; length -= 7) {
        writeFile(path, whole.substr(0, length));
        DiskLogStore store(folder.name());
        const std::size_t entries = store.recover().entries.size();
        BOOST_TEST_REQUIRE(entries <= lastWhole);
        BOOST_TEST_REQUIRE(entries % 5 == 0U);
        lastWhole = entries;
        store.write(entriesFrom(entries + 1, 1));
        BOOST_TEST_REQUIRE(DiskLogStore(folder.name()).recover().entries.size() == entries + 1);
    }
    BOOST_TEST(lastWhole < 15U);
}

BOOST_AUTO_TEST_CASE(aDamagedMiddleIsRefused)
{
    const support::TemporaryFolder folder;
    fill(folder);
    const std::string path = fileNamed(folder, "log-");
    std::string bytes = readFile(path);
    bytes[bytes.size() / 2] ^= 1;
    writeFile(path, bytes);
    DiskLogStore store(folder.name());
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::LogCorrupt));
}

BOOST_AUTO_TEST_CASE(aCompactionRemovesObsoleteFiles)
{
    const support::TemporaryFolder folder;
    fill(folder);
    Snapshot snapshot;
    snapshot.index = 12;
    snapshot.term = 1;
    snapshot.record.members = Membership({Member{"c1", true, false}});
    snapshot.state = "state";
    {
        DiskLogStore store(folder.name());
        const Recovered recovered = store.recover();
        store.compact(snapshot, recovered.hardState, {recovered.entries.begin() + 12, recovered.entries.end()});
        store.write(entriesFrom(16, 1));
    }
    DiskLogStore store(folder.name());
    const Recovered recovered = store.recover();
    BOOST_TEST_REQUIRE(recovered.snapshot != nullptr);
    BOOST_TEST(recovered.snapshot->state == "state");
    BOOST_TEST(recovered.hardState.term == 7U);
    BOOST_TEST(recovered.entries.size() == 4U);
    BOOST_TEST(recovered.entries.front().index == 13U);
    BOOST_TEST(std::distance(std::filesystem::directory_iterator(folder.name()), std::filesystem::directory_iterator()) == 2);
}

BOOST_AUTO_TEST_CASE(aDamagedOrMissingSnapshotIsRefused)
{
    const support::TemporaryFolder folder;
    Snapshot snapshot;
    snapshot.index = 3;
    snapshot.term = 1;
    snapshot.record.members = Membership({Member{"c1", true, false}});
    snapshot.state = "state";
    {
        DiskLogStore store(folder.name());
        store.recover();
        store.compact(snapshot, HardState(), {});
    }
    const std::string path = fileNamed(folder, "snapshot-");
    std::string bytes = readFile(path);
    bytes.back() ^= 1;
    writeFile(path, bytes);
    DiskLogStore damaged(folder.name());
    BOOST_CHECK_EXCEPTION(damaged.recover(), base::Error, withCode(base::ResultCode::SnapshotCorrupt));
    std::filesystem::remove(path);
    DiskLogStore missing(folder.name());
    BOOST_CHECK_EXCEPTION(missing.recover(), base::Error, withCode(base::ResultCode::SnapshotCorrupt));
}

BOOST_AUTO_TEST_CASE(anInterruptedCompactionIsDiscarded)
{
    const support::TemporaryFolder folder;
    fill(folder);
    writeFile(folder.name() + "/log-00000000000000000002.tmp", "half");
    writeFile(folder.name() + "/snapshot-00000000000000000012-00000000000000000001", "never referred to");
    DiskLogStore store(folder.name());
    BOOST_TEST(store.recover().entries.size() == 15U);
    BOOST_TEST(std::distance(std::filesystem::directory_iterator(folder.name()), std::filesystem::directory_iterator()) == 1);
}

BOOST_AUTO_TEST_CASE(aFolderThatCannotBeCreatedIsRefused)
{
    const support::TemporaryFolder folder;
    writeFile(folder.name() + "/file", "");
    BOOST_CHECK_EXCEPTION(DiskLogStore(folder.name() + "/file/data"), base::Error, withCode(base::ResultCode::DataFolderUnwritable));
}

BOOST_AUTO_TEST_CASE(aFolderOnAFullDiskIsCreatedOnceThereIsSpace)
{
    const support::TemporaryFolder folder;
    LimitedDisk disk(folder.name());
    disk.setRefusesFolders(true);
    DiskLogStore store(folder.name() + "/data", disk);
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    disk.setRefusesFolders(false);
    disk.failSyncsAfter(0);
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    disk.failSyncsAfter(std::numeric_limits<int>::max());
    BOOST_TEST(store.recover().entries.empty());
    store.write(entriesFrom(1, 3));
    BOOST_TEST(DiskLogStore(folder.name() + "/data").recover().entries.size() == 3U);
}

BOOST_AUTO_TEST_CASE(aFolderThatVanishedIsNotCreatedAnew)
{
    const support::TemporaryFolder folder;
    const std::string path = folder.name() + "/data";
    DiskLogStore store(path);
    store.recover();
    std::filesystem::remove_all(path);
    BOOST_CHECK_EXCEPTION(store.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
    BOOST_TEST(!std::filesystem::exists(path));
}

BOOST_AUTO_TEST_CASE(aFileThatCannotBeReadIsNotTakenForDamaged)
{
    const support::TemporaryFolder folder;
    {
        DiskLogStore store(folder.name());
        store.recover();
        store.compact(snapshotAt(3, 10), HardState(), {});
    }
    for (const std::string prefix : {"snapshot-", "log-"}) {
        const std::string path = fileNamed(folder, prefix);
        std::filesystem::rename(path, folder.name() + "/kept");
        std::filesystem::create_directory(path);
        DiskLogStore unreadable(folder.name());
        BOOST_CHECK_EXCEPTION(unreadable.recover(), base::Error, withCode(base::ResultCode::StorageWriteFailed));
        std::filesystem::remove(path);
        std::filesystem::rename(folder.name() + "/kept", path);
    }
    DiskLogStore readable(folder.name());
    BOOST_TEST(readable.recover().snapshot != nullptr);
}

BOOST_AUTO_TEST_CASE(changedBytesNeverCrashTheReader)
{
    constexpr int Rounds = 400;
    std::mt19937_64 random(testSeed());
    const support::TemporaryFolder folder;
    fill(folder);
    const std::string path = fileNamed(folder, "log-");
    const std::string whole = readFile(path);
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = whole;
        for (std::uint64_t change = 1 + random() % 4; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
        writeFile(path, bytes);
        try {
            DiskLogStore store(folder.name());
            BOOST_TEST_REQUIRE(store.recover().entries.size() <= 15U);
        } catch (const base::Error &error) {
            BOOST_TEST_REQUIRE((error.code() == base::ResultCode::LogCorrupt || error.code() == base::ResultCode::SnapshotCorrupt));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
