#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include <sys/types.h>

namespace cranberryreel::replication
{

/// The system calls by which a data folder creates, writes and syncs. Tests override them with a disk that is full, fails or does not answer. Stateless; any
/// thread.
class FileOperations
{
public:
    virtual ~FileOperations() = default;

    /// These three return -1 and set errno on failure, like the system calls they wrap.
    virtual int open(const std::string &path, int flags);
    virtual ssize_t write(int descriptor, std::string_view bytes);
    virtual int sync(int descriptor);

    /// Creates the folder and its missing parents.
    virtual std::error_code createFolder(const std::string &path);

    /// The instance that calls the system; lives as long as the process.
    static FileOperations &system();
};

} // namespace cranberryreel::replication
