#include "cli/Completion.h"

#include "cli/Command.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <map>
#include <set>

namespace cranberryreel::cli
{

namespace
{

std::string optionList(const Command &command)
{
    std::vector<std::string> words;
    for (const std::vector<Option> *options : {&command.options, &commonOptions()}) {
        for (const Option &option : *options) {
            words.push_back(std::string("--") + option.name);
        }
    }
    return absl::StrJoin(words, " ");
}

} // namespace

std::string bashCompletion()
{
    std::map<std::string, std::set<std::string>> nextWords;
    std::string cases;
    for (const Command &command : commandTable()) {
        const std::vector<std::string> words = absl::StrSplit(command.words, ' ');
        nextWords[""].insert(words.front());
        if (words.size() > 1) {
            nextWords[words.front()].insert(words[1]);
        }
        cases += fmt::format("    '{}') words='{}' ;;\n", command.words, optionList(command));
    }
    std::string groups;
    for (const auto &[first, seconds] : nextWords) {
        groups += fmt::format("    '{}') words='{}' ;;\n", first, absl::StrJoin(seconds, " "));
    }
    return fmt::format("_cranberryreel()\n"
                       "{{\n"
                       "    local current=\"${{COMP_WORDS[COMP_CWORD]}}\" words=''\n"
                       "    local first=\"${{COMP_WORDS[1]}}\" both=\"${{COMP_WORDS[1]}} ${{COMP_WORDS[2]}}\"\n"
                       "    [ \"$COMP_CWORD\" -gt 1 ] || first=''\n"
                       "    case \"$first\" in\n{}    esac\n"
                       "    if [[ \"$current\" == -* || \"$COMP_CWORD\" -gt 2 ]]; then\n"
                       "    case \"$both\" in\n{}    esac\n"
                       "    case \"$first\" in\n{}    esac\n"
                       "    fi\n"
                       "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
                       "    [ \"${{#COMPREPLY[@]}}\" -gt 0 ] || COMPREPLY=($(compgen -f -- \"$current\"))\n"
                       "}}\n"
                       "complete -F _cranberryreel cranberryreel\n",
                       groups,
                       cases,
                       cases);
}

} // namespace cranberryreel::cli
