#include "CommandLine.h"
#include "Measure.h"

#include <curl/curl.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace lovagecourse {

namespace {

cxxopts::Options measureCommandLine()
{
    cxxopts::Options options("lovagecourse-standins measure", "Measures policies under load.");
    // clang-format off
    options.add_options()
        ("lovagecourse", "path of the lovagecourse program", text())
        ("standins", "path of the stand-ins program", text())
        ("measure", "name of the measurement", text())
        ("site", "unikoski or association", text()->default_value("unikoski"))
        ("out", "folder for results", text())
        ("seconds", "time of load per policy", number("12"))
        ("delay-ms", "delay between entries and agents; 0 for none", number("1"))
        ("seed", "seed of arrivals and requests", number("1"));
    // clang-format on
    return options;
}

MeasureOptions readOptions(const cxxopts::ParseResult &arguments)
{
    MeasureOptions options;
    options.fleet.binary = arguments["lovagecourse"].as<std::string>();
    options.fleet.standins = arguments["standins"].as<std::string>();
    options.fleet.delayMs = numberOption(arguments, "delay-ms");
    const bool isAssociation = arguments["site"].as<std::string>() == "association";
    options.fleet.entries = isAssociation ? 4 : 3;
    options.fleet.desks = isAssociation ? 4 : 3;
    options.fleet.dataCentres = isAssociation ? 4 : 3;
    for (int account = 1; account <= 15; ++account)
        options.fleet.accounts.emplace_back("a" + std::to_string(account), 1);
    options.seed = countOption(arguments, "seed");
    options.seconds = numberOption(arguments, "seconds");
    return options;
}

} // namespace

int runMeasure(int argc, char **argv)
{
    auto commandLine = measureCommandLine();
    const auto arguments = parseCommandLine(commandLine, argc, argv);
    if (!arguments)
        return 2;
    for (const char *required : {"lovagecourse", "standins", "measure", "out"}) {
        if (arguments->count(required) == 0) {
            std::cerr << "measure needs --" << required << '\n';
            return 2;
        }
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto out = (*arguments)["out"].as<std::string>();
    const auto name = (*arguments)["measure"].as<std::string>();
    MeasureOptions options = readOptions(*arguments);
    options.fleet.folder = out + "/logs";
    std::filesystem::create_directories(options.fleet.folder);
    const MeasureTable table = runMeasureByName(name, options);
    if (table.rows.empty()) {
        std::cerr << "measure " << name << " is unknown, or no fleet became ready\n";
        return 1;
    }
    const std::string stem = out + '/' + table.name + "-" + std::to_string(table.seed);
    std::ofstream(stem + ".json") << toJson(table).dump(2) << '\n';
    std::ofstream(stem + ".svg") << toSvg(table);
    std::cout << toText(table) << std::flush;
    return 0;
}

} // namespace lovagecourse
