#include "CommandLine.h"
#include "Desk.h"

#include <csignal>
#include <iostream>

namespace lovagecourse {

namespace {

cxxopts::Options deskCommandLine()
{
    cxxopts::Options options("lovagecourse-standins desk", "Plain service stand-in.");
    // clang-format off
    options.add_options()
        ("listen", "address a.b.c.d:port", text())
        ("service-ms", "time of a booking", number("20"))
        ("status-ms", "time of a status check", number("2"))
        ("restart-ms", "time from crash to restart", number("300"))
        ("seed", "ignored, as nothing is random; every stand-in accepts it", number("1"));
    // clang-format on
    return options;
}

} // namespace

int runDesk(int argc, char **argv)
{
    auto commandLine = deskCommandLine();
    const auto arguments = parseCommandLine(commandLine, argc, argv);
    if (!arguments)
        return 2;
    const auto listen = addressOption(*arguments, "listen");
    if (!listen)
        return 2;
    DeskOptions options;
    options.listen = *listen;
    options.serviceTime = decltype(options.serviceTime)(numberOption(*arguments, "service-ms"));
    options.statusTime = decltype(options.statusTime)(numberOption(*arguments, "status-ms"));
    options.restartTime = durationOption(*arguments, "restart-ms");
    EventLoop loop;
    const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    Desk desk(loop, options);
    if (!desk.start()) {
        std::cerr << "desk cannot bind its address\n";
        return 1;
    }
    printReady("desk", (*arguments)["listen"].as<std::string>());
    loop.run();
    return 0;
}

} // namespace lovagecourse
