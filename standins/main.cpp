#include "Desk.h"
#include "Engine.h"
#include "LoadTool.h"
#include "Measure.h"
#include "Proxy.h"
#if __has_include("Platform.h")
#include "Platform.h"
#endif

#include <csignal>
#include <iostream>
#include <string>

using namespace lovagecourse;

namespace {

int printUsage()
{
    std::cerr << "usage: lovagecourse-standins platform|engine|desk|proxy|load|measure [options]\n";
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return printUsage();
    // Writing to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string command = argv[1];
#if __has_include("Platform.h")
    if (command == "platform")
        return runPlatform(argc - 1, argv + 1);
#endif
    if (command == "engine")
        return runEngine(argc - 1, argv + 1);
    if (command == "desk")
        return runDesk(argc - 1, argv + 1);
    if (command == "proxy")
        return runProxy(argc - 1, argv + 1);
    if (command == "measure")
        return runMeasure(argc - 1, argv + 1);
    if (command == "load")
        return runLoad(argc - 1, argv + 1);
    return printUsage();
}
