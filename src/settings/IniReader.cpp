#include "settings/IniReader.h"

#include <absl/strings/str_cat.h>
#include <fmt/format.h>

#include <ini.h>

#include <cctype>
#include <cstring>

namespace cranberryreel::settings
{

namespace
{

constexpr std::size_t MaxLineBytes = 190; // inih splits longer lines.
constexpr std::size_t MaxSectionBytes = 49; // inih truncates longer names.
constexpr std::size_t MaxTextBytes = std::size_t{4} << 20U;

} // namespace

IniReader::IniReader(const std::string &iniText, IniDocument &target, ProblemList &problemList)
    : text(iniText)
    , document(target)
    , problems(problemList)
{
}

void IniReader::run()
{
    if (this->text.size() > MaxTextBytes) {
        this->problems.add(base::ResultCode::SettingsSyntax, {}, fmt::format("is larger than {} bytes", MaxTextBytes));
        return;
    }
    if (const int badLine = ini_parse_stream(&IniReader::supplyNextLine, this, &IniReader::addEntry, this); badLine != 0) {
        this->problems.add(base::ResultCode::SettingsSyntax, {"", "", badLine}, "is not a section, a key with a value or a comment");
    }
}

char *IniReader::supplyNextLine(char *buffer, int size, void *reader)
{
    auto *self = static_cast<IniReader *>(reader);
    if (self->position >= self->text.size()) {
        return nullptr;
    }
    self->line = self->readLine();
    self->lineNumber++;
    if (self->line.size() > MaxLineBytes || self->line.size() + 2 > static_cast<std::size_t>(size)) {
        self->problems.add(base::ResultCode::SettingsSyntax,
                           {"", "", self->lineNumber},
                           fmt::format("is longer than {} bytes; continue the value on an indented line", MaxLineBytes));
        self->line.clear();
    }
    if (self->line.find('\0') != std::string::npos) {
        self->problems.add(base::ResultCode::SettingsSyntax, {"", "", self->lineNumber}, "contains a zero byte");
        self->line.clear();
    }
    self->recordSection(self->line);
    const std::string withEnd = self->line + "\n";
    std::memcpy(buffer, withEnd.c_str(), withEnd.size() + 1);
    return buffer;
}

std::string IniReader::readLine()
{
    std::size_t end = this->text.find('\n', this->position);
    if (end == std::string::npos) {
        end = this->text.size();
    }
    std::string cut = this->text.substr(this->position, end - this->position);
    this->position = end + 1;
    if (!cut.empty() && cut.back() == '\r') {
        cut.pop_back();
    }
    return cut;
}

// inih reports a section only with its keys, so sections without keys are recorded here.
void IniReader::recordSection(const std::string &candidate)
{
    if (candidate.empty() || candidate.front() != '[') {
        return;
    }
    const std::size_t end = candidate.find(']');
    if (end == std::string::npos) {
        return;
    }
    const std::string name = candidate.substr(1, end - 1);
    if (name.size() > MaxSectionBytes) {
        this->problems.add(base::ResultCode::SettingsSyntax, {name, "", this->lineNumber}, fmt::format("has a name longer than {} bytes", MaxSectionBytes));
    }
    this->beginSection(name.substr(0, MaxSectionBytes));
}

void IniReader::beginSection(const std::string &name)
{
    this->seenKeys.clear();
    if (!this->seenSections.insert(name).second) {
        this->problems.add(base::ResultCode::SettingsSyntax, {name, "", this->lineNumber}, "is given twice");
    }
    this->document.parsed.push_back({name, this->lineNumber, {}});
}

bool IniReader::isContinuation() const
{
    return !this->line.empty() && std::isspace(static_cast<unsigned char>(this->line.front())) != 0;
}

int IniReader::addEntry(void *reader, const char *section, const char *key, const char *value)
{
    auto *self = static_cast<IniReader *>(reader);
    if (*section == '\0') {
        self->problems.add(base::ResultCode::SettingsSyntax, {"", key, self->lineNumber}, "is outside any section");
        return 1;
    }
    std::vector<IniSection> &sections = self->document.parsed;
    if (sections.empty() || sections.back().name != section) {
        self->beginSection(section);
    }
    std::vector<IniEntry> &entries = sections.back().entries;
    if (self->isContinuation() && !entries.empty() && entries.back().key == key) {
        absl::StrAppend(&entries.back().value, " ", value);
        return 1;
    }
    if (!self->seenKeys.insert(key).second) {
        self->problems.add(base::ResultCode::SettingsSyntax, {section, key, self->lineNumber}, "is given twice");
    }
    entries.push_back({key, value, self->lineNumber});
    return 1;
}

} // namespace cranberryreel::settings
