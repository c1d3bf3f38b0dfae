#include "Cases.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string command = argc > 1 ? argv[1] : "";
    std::map<std::string, std::string> arguments;
    for (int i = 2; i + 1 < argc; i += 2)
        arguments[std::string(argv[i]).substr(2)] = argv[i + 1];
    if (command == "server")
        return review::runServer(arguments);

    const std::map<std::string, std::function<int(const review::CaseOptions &)>> cases{
            {"safe-events", review::runSafeEvents},
            {"endless-events", review::runEndlessEvents},
            {"many-headers", review::runManyHeaders},
            {"foreign-entry", review::runForeignEntry},
            {"extra-response", review::runExtraResponse}};
    const auto found = cases.find(command);
    if (found == cases.end()) {
        std::cerr << "usage: " << argv[0]
                  << " CASE --router COMMAND --template FILE --folder DIR --record FILE"
                     " --trouble 0|1\n";
        return 2;
    }
    review::CaseOptions options;
    options.router = arguments["router"];
    options.settingsTemplate = arguments["template"];
    options.folder = arguments["folder"];
    options.recordPath = arguments["record"];
    options.hasTrouble = arguments["trouble"] != "0";
    // The threads of the stand-ins still run.
    std::_Exit(found->second(options));
}
