#include "replication/DataFolder.h"

#include "observe/Log.h"
#include "replication/FileDescriptor.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <utility>

#include <fcntl.h>

namespace cranberryreel::replication
{

namespace
{

constexpr const char *TemporarySuffix = ".tmp";
constexpr std::size_t CheckBytes = 4096;

const observe::Log &log()
{
    static const observe::Log instance("replication");
    return instance;
}

[[noreturn]] void throwWriteFailed(const std::string &path, const std::error_code &error)
{
    throw base::Error(base::ResultCode::StorageWriteFailed, fmt::format("Cannot change {}: {}.", path, error.message()));
}

/// Whether only a change of the settings or of the folder's surroundings can help, unlike with a disk that is full or fails.
bool isMisconfiguration(const std::error_code &error)
{
    constexpr std::array Causes{std::errc::not_a_directory,
                                std::errc::file_exists,
                                std::errc::permission_denied,
                                std::errc::operation_not_permitted,
                                std::errc::filename_too_long,
                                std::errc::too_many_symbolic_link_levels,
                                std::errc::invalid_argument};
    return std::any_of(Causes.begin(), Causes.end(), [&error](std::errc cause) { return error == cause; });
}

} // namespace

DataFolder::DataFolder(std::string folder, FileOperations &fileOperations)
    : path(std::move(folder))
    , operations(&fileOperations)
{
    const std::error_code error = fileOperations.createFolder(this->path);
    if (error && isMisconfiguration(error)) {
        throw base::Error(base::ResultCode::DataFolderUnwritable, fmt::format("Cannot create the data folder {}: {}.", this->path, error.message()));
    }
    if (error) {
        log().error("Cannot create the data folder {}, will try again: {}.", this->path, error.message());
    }
}

/// Creates the folder once in the life of this object: a folder that vanishes later is a lost disk.
void DataFolder::requireCreated() const
{
    if (this->created) {
        return;
    }
    std::error_code error = this->operations->createFolder(this->path);
    const std::filesystem::path absolute = error ? std::filesystem::path() : std::filesystem::absolute(this->path, error);
    if (error) {
        throwWriteFailed(this->path, error);
    }
    FileDescriptor(absolute.parent_path().string(), O_RDONLY | O_DIRECTORY, *this->operations).sync();
    this->created = true;
}

std::vector<std::string> DataFolder::files() const
{
    this->requireCreated();
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator item(this->path, error);
    while (!error && item != std::filesystem::directory_iterator()) {
        names.push_back(item->path().filename().string());
        item.increment(error);
    }
    if (error) {
        throwWriteFailed(this->path, error);
    }
    return names;
}

std::string DataFolder::read(const std::string &name) const
{
    return FileDescriptor(this->pathOf(name), O_RDONLY, *this->operations).readAll();
}

/// Leaves no file behind if it cannot be written: on a full disk its space may be all that is left for the log.
void DataFolder::writeTemporary(const std::string &temporary, std::string_view bytes) const
{
    this->requireCreated();
    try {
        const FileDescriptor file(this->pathOf(temporary), O_WRONLY | O_CREAT | O_TRUNC, *this->operations);
        file.writeAll(bytes);
        file.sync();
    } catch (const base::Error &) {
        this->tryRemove(temporary);
        throw;
    }
}

void DataFolder::replace(const std::string &name, std::string_view bytes) const
{
    const std::string temporary = name + TemporarySuffix;
    this->writeTemporary(temporary, bytes);
    std::error_code error;
    std::filesystem::rename(this->pathOf(temporary), this->pathOf(name), error);
    if (error) {
        this->tryRemove(temporary);
        throwWriteFailed(this->pathOf(name), error);
    }
    this->sync();
}

void DataFolder::remove(const std::string &name) const
{
    std::error_code error;
    std::filesystem::remove(this->pathOf(name), error);
    if (error) {
        throwWriteFailed(this->pathOf(name), error);
    }
    this->sync();
}

void DataFolder::tryRemove(const std::string &name) const
{
    std::error_code error;
    std::filesystem::remove(this->pathOf(name), error);
    if (error) {
        log().warn("Cannot remove {}: {}.", this->pathOf(name), error.message());
    }
}

void DataFolder::checkWritable() const
{
    const std::string name = std::string("check") + TemporarySuffix;
    this->writeTemporary(name, std::string(CheckBytes, '\0'));
    this->tryRemove(name);
}

void DataFolder::sync() const
{
    FileDescriptor(this->path, O_RDONLY | O_DIRECTORY, *this->operations).sync();
}

} // namespace cranberryreel::replication
