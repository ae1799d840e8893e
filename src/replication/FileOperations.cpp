#include "replication/FileOperations.h"

#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace cranberryreel::replication
{

namespace
{

constexpr mode_t OwnerOnly = 0600;

} // namespace

int FileOperations::open(const std::string &path, int flags)
{
    return ::open(path.c_str(), flags | O_CLOEXEC, OwnerOnly);
}

ssize_t FileOperations::write(int descriptor, std::string_view bytes)
{
    return ::write(descriptor, bytes.data(), bytes.size());
}

int FileOperations::sync(int descriptor)
{
    return ::fsync(descriptor);
}

std::error_code FileOperations::createFolder(const std::string &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    return error;
}

FileOperations &FileOperations::system()
{
    static FileOperations operations;
    return operations;
}

} // namespace cranberryreel::replication
