#pragma once

#include "replication/FileOperations.h"

#include <string>
#include <string_view>

namespace cranberryreel::replication
{

/// An open file or folder, closed by the destructor. Move-only. Errors: base::Error(StorageWriteFailed).
class FileDescriptor
{
public:
    FileDescriptor() = default;
    FileDescriptor(const std::string &path, int flags, FileOperations &operations);
    ~FileDescriptor();

    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    FileDescriptor(FileDescriptor &&other) noexcept;
    FileDescriptor &operator=(FileDescriptor &&other) noexcept;

    /// Returns the bytes from the current position to the end.
    std::string readAll() const;
    void writeAll(std::string_view bytes) const;
    void sync() const;
    void truncate(std::size_t bytes) const;

private:
    [[noreturn]] void throwWriteFailed(const char *action) const;

    FileOperations *operations = nullptr; ///< Not owned.
    std::string path;
    int descriptor = -1;
};

} // namespace cranberryreel::replication
