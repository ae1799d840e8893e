#include "replication/DataFolder.h"

#include "observe/Log.h"
#include "replication/FileDescriptor.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
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

} // namespace

DataFolder::DataFolder(std::string folder, FileOperations &fileOperations)
    : path(std::move(folder))
    , operations(&fileOperations)
{
    if (const std::error_code error = this->operations->createFolder(this->path); error) {
        throw base::Error(base::ResultCode::DataFolderUnwritable, fmt::format("Cannot create the data folder {}: {}.", this->path, error.message()));
    }
    const std::filesystem::path parent = std::filesystem::absolute(this->path).parent_path();
    FileDescriptor(parent.string(), O_RDONLY | O_DIRECTORY, *this->operations).sync();
}

std::vector<std::string> DataFolder::files() const
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto &item : std::filesystem::directory_iterator(this->path, error)) {
        names.push_back(item.path().filename().string());
    }
    if (error) {
        throwWriteFailed(this->path, error);
    }
    return names;
}

std::string DataFolder::read(const std::string &name) const
{
    std::ifstream file(this->pathOf(name), std::ios::binary);
    if (!file) {
        throwWriteFailed(this->pathOf(name), std::make_error_code(std::errc::io_error));
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

void DataFolder::replace(const std::string &name, std::string_view bytes) const
{
    const std::string temporary = name + TemporarySuffix;
    try {
        const FileDescriptor file(this->pathOf(temporary), O_WRONLY | O_CREAT | O_TRUNC, *this->operations);
        file.writeAll(bytes);
        file.sync();
        std::error_code error;
        std::filesystem::rename(this->pathOf(temporary), this->pathOf(name), error);
        if (error) {
            throwWriteFailed(this->pathOf(name), error);
        }
    } catch (const base::Error &) {
        this->tryRemove(temporary); // On a full disk its space may be all that is left for the log.
        throw;
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
    try {
        const FileDescriptor file(this->pathOf(name), O_WRONLY | O_CREAT | O_TRUNC, *this->operations);
        file.writeAll(std::string(CheckBytes, '\0'));
        file.sync();
    } catch (const base::Error &) {
        this->tryRemove(name);
        throw;
    }
    this->tryRemove(name);
}

void DataFolder::sync() const
{
    FileDescriptor(this->path, O_RDONLY | O_DIRECTORY, *this->operations).sync();
}

} // namespace cranberryreel::replication
