#include "settings/Settings.h"

#include "cranberryreel/base/Error.h"
#include "settings/SettingsParser.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cranberryreel::settings
{

namespace
{

std::string readFile(const std::string &path)
{
    std::error_code ignored;
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, ignored)) {
        throw base::Error(base::ResultCode::SettingsFileMissing, fmt::format("{}: cannot be read; give the path of an existing settings file", path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void resolvePaths(Settings &settings, const std::filesystem::path &folder)
{
    for (const SettingKey &row : settingsTable()) {
        if (auto *path = row.isPath ? std::get<std::string *>(row.field(settings)) : nullptr; path != nullptr && !path->empty()) {
            *path = (folder / *path).lexically_normal().string();
        }
    }
}

void checkFileReadable(const IniPlace &place, const std::string &path, ProblemList &problems)
{
    if (!path.empty() && !std::ifstream(path)) {
        problems.add(base::ResultCode::SettingsFileMissing, place, fmt::format("'{}' cannot be read", path));
    }
}

} // namespace

Settings parse(const std::string &text, const std::string &name)
{
    ProblemList problems(name);
    const IniDocument document = IniDocument::parse(text, problems);
    Settings settings = SettingsParser(document, problems).run();
    problems.throwIfAny();
    return settings;
}

Settings load(const std::string &path)
{
    Settings settings = parse(readFile(path), path);
    resolvePaths(settings, std::filesystem::path(path).parent_path());
    ProblemList problems(path);
    checkFileReadable({"link", "key_file", 0}, settings.link.keyFile, problems);
    checkFileReadable({"link", "next_key_file", 0}, settings.link.nextKeyFile, problems);
    checkFileReadable({"entry", "upstream_key_file", 0}, settings.entry.upstreamKeyFile, problems);
    problems.throwIfAny();
    return settings;
}

} // namespace cranberryreel::settings
