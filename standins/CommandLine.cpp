#include "CommandLine.h"

#include "wire/Endpoint.h"

#include <algorithm>
#include <exception>
#include <iostream>

namespace lovagecourse {

std::optional<cxxopts::ParseResult> parseCommandLine(cxxopts::Options &options, int argc,
                                                     char **argv)
{
    options.add_options()("help", "print this text");
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") == 0)
            return arguments;
        std::cout << options.help();
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << "\n" << options.help();
    }
    return std::nullopt;
}

std::optional<sockaddr_in> addressOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name)
{
    const std::string text = arguments.count(name) == 0 ? "" : arguments[name].as<std::string>();
    const auto endpoint = parseEndpoint(text);
    if (endpoint)
        return toSocketAddress(*endpoint);
    std::cerr << "--" << name << ": expected a.b.c.d:port, got \"" << text << "\"\n";
    return std::nullopt;
}

std::shared_ptr<cxxopts::Value> number(const std::string &defaultValue)
{
    return cxxopts::value<double>()->default_value(defaultValue);
}

std::shared_ptr<cxxopts::Value> text()
{
    return cxxopts::value<std::string>();
}

std::uint64_t countOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return static_cast<std::uint64_t>(std::max(0., numberOption(arguments, name)));
}

double numberOption(const cxxopts::ParseResult &arguments, const std::string &name)
{
    return arguments[name].as<double>();
}

std::chrono::milliseconds durationOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name)
{
    return std::chrono::milliseconds(countOption(arguments, name));
}

void printReady(const std::string &name, const std::string &address)
{
    std::cout << name << " ready on " << address << std::endl;
}

} // namespace lovagecourse
