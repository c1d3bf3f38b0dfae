#include "Checks.h"

#include <csignal>
#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::string(argv[1]) == "server") {
        review::RemoteServer::serveForever(argv[2],
                                           static_cast<std::uint16_t>(std::stoul(argv[3])));
        return 2;
    }
    const auto found = argc == 4 ? review::allCases().find(argv[1]) : review::allCases().end();
    if (found == review::allCases().end()) {
        std::cerr << "usage: review-case NAME RECORD TROUBLE, 0 for none\n";
        return 2;
    }
    review::Record record(argv[2]);
    found->second(record, std::string(argv[3]) != "0");
    return 2;
}
