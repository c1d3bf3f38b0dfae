#include "Checks.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::string(argv[1]) == "server") {
        review::RemoteServer::serveForever(argv[2],
                                           static_cast<std::uint16_t>(std::stoul(argv[3])));
        return 2;
    }
    const auto found = argc == 3 ? review::allCases().find(argv[1]) : review::allCases().end();
    if (found == review::allCases().end()) {
        std::cerr << "usage: review-case NAME RECORD\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    review::Record record(argv[2]);
    found->second(record, !trouble || std::string(trouble) != "0");
    return 2;
}
