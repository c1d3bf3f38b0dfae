#include "CommandLine.h"
#include "Engine.h"

#include <csignal>
#include <iostream>

namespace lovagecourse {

namespace {

cxxopts::Options engineCommandLine()
{
    cxxopts::Options options("lovagecourse-standins engine", "Model engine stand-in.");
    // clang-format off
    options.add_options()
        ("listen", "address a.b.c.d:port", text())
        ("base-gap-ms", "inter-token latency up to the knee", number("20"))
        ("knee", "batch size above which the inter-token latency grows", number("8"))
        ("max-batch", "maximum batch size; further requests are queued", number("64"))
        ("prefill-ms", "prefill time without a cached prefix", number("100"))
        ("cached-prefixes", "capacity of the prefix cache in prefixes", number("64"))
        ("load-lag-ms", "age of load reports", number("1000"))
        ("restart-ms", "time from crash to restart", number("300"))
        ("checks-fencing", "reject orders with an outdated fencing number")
        ("seed", "ignored, as nothing is random; every stand-in accepts it", number("1"));
    // clang-format on
    return options;
}

EngineOptions readOptions(const cxxopts::ParseResult &arguments, const sockaddr_in &listen)
{
    EngineOptions options;
    options.listen = listen;
    options.baseInterTokenLatency =
            decltype(options.baseInterTokenLatency)(numberOption(arguments, "base-gap-ms"));
    options.kneeBatchSize = numberOption(arguments, "knee");
    options.maxBatch = countOption(arguments, "max-batch");
    options.prefillTime = decltype(options.prefillTime)(numberOption(arguments, "prefill-ms"));
    options.cachedPrefixes = countOption(arguments, "cached-prefixes");
    options.loadLag = durationOption(arguments, "load-lag-ms");
    options.restartTime = durationOption(arguments, "restart-ms");
    options.checksFencing = arguments.count("checks-fencing") > 0;
    return options;
}

} // namespace

int runEngine(int argc, char **argv)
{
    auto commandLine = engineCommandLine();
    const auto arguments = parseCommandLine(commandLine, argc, argv);
    if (!arguments)
        return 2;
    const auto listen = addressOption(*arguments, "listen");
    if (!listen)
        return 2;
    EventLoop loop;
    const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    Engine engine(loop, readOptions(*arguments, *listen));
    if (!engine.start()) {
        std::cerr << "engine cannot bind its address\n";
        return 1;
    }
    printReady("engine", (*arguments)["listen"].as<std::string>());
    loop.run();
    return 0;
}

} // namespace lovagecourse
