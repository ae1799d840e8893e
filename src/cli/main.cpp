#include "cli/Tool.h"

#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const cranberryreel::cli::Streams streams{std::cin, std::cout, std::cerr, ::isatty(STDOUT_FILENO) == 1};
    return cranberryreel::cli::Tool(streams).run(words);
}
