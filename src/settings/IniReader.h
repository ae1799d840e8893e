#pragma once

#include "settings/IniDocument.h"

#include <cstddef>
#include <set>
#include <string>

namespace cranberryreel::settings
{

/// Passes one text to inih line by line and collects the sections and keys in a document. Used for one parse.
class IniReader
{
public:
    IniReader(const std::string &text, IniDocument &document, ProblemList &problems);

    void run();

private:
    static char *supplyNextLine(char *buffer, int size, void *reader);
    static int addEntry(void *reader, const char *section, const char *key, const char *value);

    std::string readLine();
    void recordSection(const std::string &line);
    void beginSection(const std::string &name);
    bool isContinuation() const;

    const std::string &text;
    IniDocument &document;
    ProblemList &problems;
    std::size_t position = 0;
    int lineNumber = 0;
    std::string line;
    std::set<std::string> seenSections;
    std::set<std::string> seenKeys; ///< Keys of the current section.
};

} // namespace cranberryreel::settings
