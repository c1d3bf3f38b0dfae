#include "integration/RouterProcess.h"

#include "integration/Fleet.h"
#include "integration/HttpCall.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace lovagecourse::test {

RouterProcess::RouterProcess(const std::string &name, const std::string &store,
                             unsigned maxMemoryMb)
    : callers_(Fleet::freeEndpoint())
    , ready_(Fleet::freeEndpoint())
    , admin_(Fleet::freeEndpoint())
    , datagrams_(Fleet::freeEndpoint())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "router-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    std::ofstream(folder_ + "/settings.toml")
            << "name = \"" << name << "\"\ndata_centre = \"zone-a\"\n"
            << "fleet_key = \"" << fleetKey << "\"\n"
            << "platform = \"http://" << store << "\"\n"
            << "callers = \"" << callers_ << "\"\nready = \"" << ready_ << "\"\nadmin = \""
            << admin_ << "\"\ndatagrams = \"" << datagrams_ << "\"\nmax_sockets = 1024\n"
            << "max_memory_mb = " << maxMemoryMb << "\n"
            << "[log]\nlevel = \"info\"\n";
    start();
}

RouterProcess::~RouterProcess()
{
    process_.reset();
    std::filesystem::remove_all(folder_);
}

void RouterProcess::start()
{
    process_ = std::make_unique<Process>(std::vector<std::string>{LOVAGECOURSE_BINARY, "router",
                                                                  "--settings",
                                                                  folder_ + "/settings.toml"},
                                         folder_ + "/log");
}

bool RouterProcess::isReady() const
{
    return call("GET", "http://" + ready_ + "/readyz", {}, "", std::chrono::seconds(1)).status
           == 200;
}

std::string RouterProcess::log() const
{
    std::ifstream file(folder_ + "/log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

double RouterProcess::metric(const std::string &name) const
{
    std::istringstream lines(
            call("GET", "http://" + admin_ + "/metrics", {}, "", std::chrono::seconds(5)).body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + ' '))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

} // namespace lovagecourse::test
