#include "replication/FileDescriptor.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include <unistd.h>

namespace cranberryreel::replication
{

FileDescriptor::FileDescriptor(const std::string &filePath, int flags, FileOperations &fileOperations)
    : operations(&fileOperations)
    , path(filePath)
    , descriptor(fileOperations.open(filePath, flags))
{
    if (this->descriptor < 0) {
        this->throwWriteFailed("open");
    }
}

FileDescriptor::~FileDescriptor()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

FileDescriptor::FileDescriptor(FileDescriptor &&other) noexcept
    : operations(other.operations)
    , path(std::move(other.path))
    , descriptor(std::exchange(other.descriptor, -1))
{
}

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&other) noexcept
{
    std::swap(this->operations, other.operations);
    std::swap(this->path, other.path);
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

std::string FileDescriptor::readAll() const
{
    constexpr std::size_t ChunkBytes = 1UL << 20U;
    std::string bytes;
    std::size_t size = 0;
    while (true) {
        bytes.resize(size + ChunkBytes);
        const ssize_t got = ::read(this->descriptor, &bytes[size], ChunkBytes);
        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (got < 0) {
            this->throwWriteFailed("read");
        }
        size += static_cast<std::size_t>(got);
        if (got == 0) {
            bytes.resize(size);
            return bytes;
        }
    }
}

void FileDescriptor::writeAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t written = this->operations->write(this->descriptor, bytes);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            this->throwWriteFailed("write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

void FileDescriptor::sync() const
{
    if (this->operations->sync(this->descriptor) != 0) {
        this->throwWriteFailed("sync");
    }
}

void FileDescriptor::truncate(std::size_t bytes) const
{
    if (::ftruncate(this->descriptor, static_cast<off_t>(bytes)) != 0) {
        this->throwWriteFailed("truncate");
    }
}

void FileDescriptor::throwWriteFailed(const char *action) const
{
    const std::string cause = std::generic_category().message(errno);
    throw base::Error(base::ResultCode::StorageWriteFailed, fmt::format("Cannot {} {}: {}.", action, this->path, cause));
}

} // namespace cranberryreel::replication
