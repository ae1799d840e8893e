#include "config/RevisionFile.h"

#include "config/WireCodec.h"
#include "observe/Log.h"

#include <xxhash.h>

#include <algorithm>

namespace cranberryreel::config
{

namespace
{

constexpr const char *FileName = "configuration.revision";
constexpr std::uint32_t FileFormat = 1;
constexpr std::size_t ChecksumBytes = sizeof(XXH64_hash_t);

const observe::Log &log()
{
    static const observe::Log instance("config");
    return instance;
}

std::string checksumOf(const std::string &payload)
{
    const XXH64_hash_t hash = XXH3_64bits(payload.data(), payload.size());
    return {reinterpret_cast<const char *>(&hash), ChecksumBytes};
}

} // namespace

RevisionFile::RevisionFile(const std::string &dataFolder)
    : folder(dataFolder)
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
    this->folder.replace(FileName, checksumOf(payload) + payload);
}

std::optional<RevisionTexts> RevisionFile::load() const
{
    const std::vector<std::string> files = this->folder.files();
    if (std::find(files.begin(), files.end(), FileName) == files.end()) {
        return std::nullopt;
    }
    const std::string bytes = this->folder.read(FileName);
    if (bytes.size() > ChecksumBytes) {
        const std::string payload = bytes.substr(ChecksumBytes);
        const auto snapshot = decode<wire::SnapshotT>(payload);
        if (snapshot && snapshot->format == FileFormat && bytes.substr(0, ChecksumBytes) == checksumOf(payload)) {
            return RevisionTexts{snapshot->revision, snapshot->register_text, snapshot->rules_text};
        }
    }
    log().warn("File '{}' is damaged and is ignored.", this->folder.pathOf(FileName));
    return std::nullopt;
}

} // namespace cranberryreel::config
