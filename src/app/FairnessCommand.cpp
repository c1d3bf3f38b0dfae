#include "app/FairnessCommand.h"

#include "app/CommandLine.h"
#include "checking/AccountMargins.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace lovagecourse {

namespace {

constexpr int exitUnfair = 1;
constexpr std::size_t defaultAccounts = 10;

cxxopts::Options commandOptions()
{
    cxxopts::Options options(
            "lovagecourse fairness",
            "Compares from the logs of all routers what each account obtained with its due.\n"
            "Exit code: 0 no account below its due, 1 some, 2 invalid arguments.\n");
    options.positional_help("FILE...");
    options.add_options()(
            "accounts", "number of accounts to print",
            cxxopts::value<std::size_t>()->default_value(std::to_string(defaultAccounts)));
    options.add_options()("help", "print this text");
    options.add_options("hidden")("file", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"file"});
    return options;
}

int printUsageError(const std::string &fault)
{
    std::cerr << "lovagecourse fairness: " << fault << '\n' << commandOptions().help({""});
    return exitUsage;
}

std::string timeText(WallTime time)
{
    const auto date = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::hh_mm_ss clock(std::chrono::floor<seconds>(time - date));
    std::ostringstream text;
    text << std::setfill('0') << std::setw(2) << clock.hours().count() << ':' << std::setw(2)
         << clock.minutes().count() << ':' << std::setw(2) << clock.seconds().count();
    return text.str();
}

void print(const std::vector<AccountMargin> &margins, std::size_t maxAccounts)
{
    std::cout << "ratio  from      obtained       due  requested  requests  refused  account\n"
              << std::fixed << std::setprecision(0);
    for (std::size_t i = 0; i < std::min(margins.size(), maxAccounts); ++i) {
        const AccountMargin &margin = margins[i];
        std::cout << std::setw(5) << std::setprecision(2) << margin.ratio() << std::setprecision(0)
                  << "  " << timeText(margin.begin) << std::setw(10) << margin.obtainedTokens
                  << std::setw(10) << margin.dueTokens << std::setw(11) << margin.requestedTokens
                  << std::setw(10) << margin.requests << std::setw(9) << margin.refused << "  "
                  << margin.account << '\n';
    }
}

} // namespace

int runFairnessCommand(int argc, char **argv)
{
    std::vector<std::string> files;
    std::size_t maxAccounts = 0;
    try {
        const auto parsed = commandOptions().parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << commandOptions().help({""});
            return 0;
        }
        if (parsed.count("file") > 0)
            files = parsed["file"].as<std::vector<std::string>>();
        maxAccounts = parsed["accounts"].as<std::size_t>();
    } catch (const cxxopts::exceptions::exception &fault) {
        return printUsageError(fault.what());
    }
    if (files.empty())
        return printUsageError("expected at least one file");
    std::vector<AccountRequest> requests;
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input)
            return printUsageError("can't read " + file);
        for (std::string line; std::getline(input, line);) {
            if (auto request = parseRequestLine(line))
                requests.push_back(std::move(*request));
        }
    }
    const std::vector<AccountMargin> margins = lowestMargins(requests);
    print(margins, maxAccounts);
    return !margins.empty() && margins.front().ratio() < 1 ? exitUnfair : 0;
}

} // namespace lovagecourse
