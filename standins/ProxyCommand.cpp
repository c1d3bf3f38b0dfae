#include "CommandLine.h"
#include "Proxy.h"

#include <csignal>
#include <iostream>

namespace lovagecourse {

namespace {

cxxopts::Options proxyCommandLine()
{
    cxxopts::Options options("lovagecourse-standins proxy", "TCP and UDP fault proxy.");
    // clang-format off
    options.add_options()
        ("map", "tcp:listen=target or udp:listen=target; repeatable", cxxopts::value<std::vector<std::string>>())
        ("control", "HTTP control address a.b.c.d:port", text())
        ("seed", "seed of the random faults", number("1"));
    // clang-format on
    return options;
}

bool addMappings(Proxy &proxy, const cxxopts::ParseResult &arguments)
{
    if (arguments.count("map") == 0)
        return true;
    for (const std::string &mapping : arguments["map"].as<std::vector<std::string>>()) {
        if (!proxy.addMapping(mapping)) {
            std::cerr << "--map: expected tcp:listen=target or udp:listen=target, got " << mapping
                      << "\n";
            return false;
        }
    }
    return true;
}

} // namespace

int runProxy(int argc, char **argv)
{
    auto commandLine = proxyCommandLine();
    const auto arguments = parseCommandLine(commandLine, argc, argv);
    if (!arguments)
        return 2;
    const auto control = addressOption(*arguments, "control");
    if (!control)
        return 2;
    EventLoop loop;
    const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    Proxy proxy(loop, *control, countOption(*arguments, "seed"));
    if (!addMappings(proxy, *arguments))
        return 2;
    if (!proxy.start()) {
        std::cerr << "proxy cannot bind its addresses\n";
        return 1;
    }
    printReady("proxy", (*arguments)["control"].as<std::string>());
    loop.run();
    return 0;
}

} // namespace lovagecourse
