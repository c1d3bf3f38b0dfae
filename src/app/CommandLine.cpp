#include "app/CommandLine.h"

#include <iostream>

namespace lovagecourse {

int runCommandLine(int argc, char **argv)
{
    static_cast<void>(argv);
    std::cerr << "lovagecourse: " << (argc < 2 ? "no command given" : "unknown command") << '\n';
    return exitUsage;
}

} // namespace lovagecourse
