#include "config/RevisionFile.h"

#include "config/WireCodec.h"
#include "cranberryreel/base/Error.h"
#include "observe/Log.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace cranberryreel::config
{

namespace
{

constexpr const char *FileName = "configuration.revision";
constexpr std::uint32_t FileFormat = 1;
constexpr std::size_t ChecksumBytes = sizeof(XXH64_hash_t);
constexpr mode_t OwnerOnly = 0600;

const observe::Log &log()
{
    static const observe::Log instance("config");
    return instance;
}

/// Closes its descriptor.
class Descriptor
{
public:
    Descriptor(const std::string &path, int flags)
        : number(::open(path.c_str(), flags | O_CLOEXEC, OwnerOnly))
    {
    }

    ~Descriptor()
    {
        if (this->number >= 0) {
            ::close(this->number);
        }
    }

    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    bool writeAll(const std::string &bytes) const
    {
        for (std::size_t written = 0; written < bytes.size();) {
            const ssize_t step = ::write(this->number, bytes.data() + written, bytes.size() - written);
            if (step < 0 && errno != EINTR) {
                return false;
            }
            written += step < 0 ? 0 : static_cast<std::size_t>(step);
        }
        return true;
    }

    bool sync() const
    {
        return this->number >= 0 && ::fsync(this->number) == 0;
    }

private:
    const int number;
};

std::string checksumOf(const std::string &payload)
{
    const XXH64_hash_t hash = XXH3_64bits(payload.data(), payload.size());
    return {reinterpret_cast<const char *>(&hash), ChecksumBytes};
}

} // namespace

RevisionFile::RevisionFile(const std::string &dataFolder)
    : folder(dataFolder)
    , path(dataFolder + "/" + FileName)
{
}

void RevisionFile::save(const RevisionTexts &texts) const
{
    wire::SnapshotT snapshot;
    snapshot.format = FileFormat;
    snapshot.revision = texts.revision;
    snapshot.register_text = texts.registerText;
    snapshot.rules_text = texts.rulesText;
    const std::string payload = encode(snapshot);
    this->replaceWith(checksumOf(payload) + payload);
}

void RevisionFile::replaceWith(const std::string &bytes) const
{
    const std::string fresh = this->path + ".new";
    const Descriptor file(fresh, O_WRONLY | O_CREAT | O_TRUNC);
    const bool written = file.writeAll(bytes) && file.sync() && ::rename(fresh.c_str(), this->path.c_str()) == 0;
    if (!written || !Descriptor(this->folder, O_RDONLY | O_DIRECTORY).sync()) {
        throw base::Error(base::ResultCode::StorageWriteFailed, fmt::format("'{}' cannot be written: {}", this->path, std::strerror(errno)));
    }
}

std::optional<RevisionTexts> RevisionFile::load() const
{
    std::ifstream file(this->path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream whole;
    whole << file.rdbuf();
    const std::string bytes = whole.str();
    if (bytes.size() > ChecksumBytes) {
        const std::string payload = bytes.substr(ChecksumBytes);
        const auto snapshot = decode<wire::SnapshotT>(payload);
        if (snapshot && snapshot->format == FileFormat && bytes.substr(0, ChecksumBytes) == checksumOf(payload)) {
            return RevisionTexts{snapshot->revision, snapshot->register_text, snapshot->rules_text};
        }
    }
    log().warn("'{}' is damaged and not used.", this->path);
    return std::nullopt;
}

} // namespace cranberryreel::config
