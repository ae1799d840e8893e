#include "observe/SpanFile.h"

#include "observe/Log.h"

#include "cranberryreel/base/Error.h"

#include <fmt/format.h>

#include <filesystem>
#include <utility>

namespace cranberryreel::observe
{

namespace
{

const Log Logger("trace");

constexpr std::chrono::seconds FlushInterval{1};

} // namespace

SpanFile::SpanFile(const std::string &filePath, std::uint64_t bytes)
    : path(filePath)
    , maxBytes(bytes)
{
    absl::MutexLock lock(&this->mutex);
    this->open();
    if (!this->file) {
        throw base::Error(base::ResultCode::DataFolderUnwritable,
                          fmt::format("trace file '{}' cannot be written; check that its folder exists and its permissions", this->path));
    }
}

void SpanFile::write(const std::string &otlpJsonLine)
{
    absl::MutexLock lock(&this->mutex);
    if (this->size >= this->maxBytes) {
        this->file.close();
        std::error_code ignored;
        std::filesystem::rename(this->path, this->path + ".1", ignored);
        this->open();
    }
    this->file << otlpJsonLine << '\n';
    this->size += otlpJsonLine.size() + 1;
    if (const auto now = std::chrono::steady_clock::now(); now - this->lastFlush >= FlushInterval) {
        this->flush();
        this->lastFlush = now;
    }
}

void SpanFile::flush()
{
    this->file.flush();
    const bool failed = !this->file;
    if (failed) {
        this->file.close();
        this->file.clear();
        this->open();
    }
    if (failed != std::exchange(this->failing, failed)) {
        Logger.warn(failed ? "Trace file '{}' cannot be written; spans are dropped until it can." : "Trace file '{}' can be written again.", this->path);
    }
}

void SpanFile::open()
{
    this->file.open(this->path, std::ios::app);
    std::error_code ignored;
    const std::uintmax_t found = std::filesystem::file_size(this->path, ignored);
    this->size = ignored ? 0 : found;
}

} // namespace cranberryreel::observe
