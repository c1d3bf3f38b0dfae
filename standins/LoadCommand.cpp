#include "CommandLine.h"
#include "LoadTool.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace lovagecourse {

namespace {

using TextList = std::vector<std::string>;

cxxopts::Options loadCommandLine()
{
    cxxopts::Options options("lovagecourse-standins load", "Load tool; prints one JSON object.");
    // clang-format off
    options.add_options()
        ("target", "base URL; repeatable", cxxopts::value<TextList>())
        ("account", "name=key or name=key@weight; repeatable", cxxopts::value<TextList>())
        ("header", "additional request header, \"Name: value\"; repeatable", cxxopts::value<TextList>())
        ("path", "path of model calls", text()->default_value("/v1/chat/completions"))
        ("model", "model of model calls", text()->default_value("model"))
        ("plain", "path of plain GET calls, instead of model calls", text()->default_value(""))
        ("rate", "requests per second", number("10"))
        ("seconds", "sending time", number("10"))
        ("drain-seconds", "time for answers after the sending time", number("30"))
        ("max-tokens", "tokens of an answer", number("32"))
        ("stream", "request streamed answers")
        ("mix", "share:tokens of long requests", text()->default_value("0:0"))
        ("straggler", "share of requests with 20 times the tokens", number("0"))
        ("swing", "4 times the rate for 2 s in every 10 s")
        ("prefixes", "number of common prompt prefixes; 0 for none", number("0"))
        ("closed", "closed loop with this many connections", number("0"))
        ("seed", "seed of arrivals and requests", number("1"));
    // clang-format on
    return options;
}

TextList listOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return arguments.count(name) == 0 ? TextList() : arguments[name].as<TextList>();
}

LoadAccount readAccount(const std::string &specification)
{
    const std::size_t equals = specification.find('=');
    LoadAccount account;
    account.name = specification.substr(0, equals);
    if (equals == std::string::npos)
        return account;
    const std::size_t at = specification.rfind('@');
    const bool hasWeight = at != std::string::npos && at > equals;
    account.key = specification.substr(equals + 1, hasWeight ? at - equals - 1 : at);
    if (hasWeight)
        account.weight = std::strtod(specification.c_str() + at + 1, nullptr);
    return account;
}

LoadProfile readProfile(const cxxopts::ParseResult &arguments)
{
    LoadProfile profile;
    for (const std::string &specification : listOption(arguments, "account"))
        profile.accounts.push_back(readAccount(specification));
    if (profile.accounts.empty())
        profile.accounts.push_back({"default", "", 1});
    profile.rate = numberOption(arguments, "rate");
    profile.tokens = countOption(arguments, "max-tokens");
    const auto share = arguments["mix"].as<std::string>();
    const std::size_t colon = share.find(':');
    profile.longShare = std::strtod(share.c_str(), nullptr);
    if (colon != std::string::npos)
        profile.longTokens = std::strtoull(share.c_str() + colon + 1, nullptr, 10);
    profile.stragglerShare = numberOption(arguments, "straggler");
    profile.hasBursts = arguments.count("swing") > 0;
    profile.prefixes = countOption(arguments, "prefixes");
    profile.seed = countOption(arguments, "seed");
    return profile;
}

LoadOptions readOptions(const cxxopts::ParseResult &arguments)
{
    LoadOptions options;
    options.profile = readProfile(arguments);
    options.targets = listOption(arguments, "target");
    options.profile.targetCount = options.targets.size();
    options.headers = listOption(arguments, "header");
    options.path = arguments["path"].as<std::string>();
    options.model = arguments["model"].as<std::string>();
    options.plainPath = arguments["plain"].as<std::string>();
    options.isStreaming = arguments.count("stream") > 0;
    options.closedConnections = countOption(arguments, "closed");
    options.sendingTime = std::chrono::duration<double>(numberOption(arguments, "seconds"));
    options.drainTime = std::chrono::duration<double>(numberOption(arguments, "drain-seconds"));
    return options;
}

} // namespace

int runLoad(int argc, char **argv)
{
    auto commandLine = loadCommandLine();
    const auto arguments = parseCommandLine(commandLine, argc, argv);
    if (!arguments)
        return 2;
    LoadOptions options = readOptions(*arguments);
    if (options.targets.empty() || (options.closedConnections == 0 && options.profile.rate <= 0)) {
        std::cerr << "load needs a --target and a --rate above 0\n";
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    EventLoop loop;
    const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    LoadTool tool(loop, std::move(options));
    tool.start();
    loop.run();
    std::cout << tool.finish().dump() << std::endl;
    return 0;
}

} // namespace lovagecourse
