#pragma once

#include "settings/IniDocument.h"

#include <cstddef>
#include <set>
#include <string>

namespace cranberryreel::settings
{

/// Feeds one text to inih line by line and gathers what inih finds into a document. Lives for one parse.
class IniReader
{
public:
    IniReader(const std::string &text, IniDocument &document, ProblemList &problems);

    void run();

private:
    static char *nextLine(char *buffer, int size, void *reader);
    static int takeEntry(void *reader, const char *section, const char *key, const char *value);

    std::string cutLine();
    void noteSection(const std::string &line);
    void beginSection(const std::string &name);
    bool isContinuation() const;

    const std::string &text;
    IniDocument &document;
    ProblemList &problems;
    std::size_t at = 0;
    int lineNumber = 0;
    std::string line;
    std::set<std::string> seenSections;
    std::set<std::string> seenKeys; ///< Of the last section.
};

} // namespace cranberryreel::settings
