#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace cranberryreel::support
{

/// A folder that the destructor deletes, unless keep() was called or CRANBERRYREEL_KEEP_FOLDERS is set. Owned by a test.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "cranberryreel-test-XXXXXX").string();
        this->path = ::mkdtemp(name.data());
    }

    ~TemporaryFolder()
    {
        if (!this->kept && std::getenv("CRANBERRYREEL_KEEP_FOLDERS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->path, ignored);
        }
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    void keep()
    {
        this->kept = true;
    }

    const std::string &name() const
    {
        return this->path;
    }

private:
    std::string path;
    bool kept = false;
};

} // namespace cranberryreel::support
