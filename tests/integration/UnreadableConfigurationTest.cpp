#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

// Guards against a log line that does not tell an operator which field of a long document is at
// fault and what is expected there, and against a router that ends or stops serving.
TEST_CASE("unreadable configuration, logs the path and the expectation and goes on serving")
{
    RouterHost host(maxMemoryMb, answerOk);
    const auto isLogged = [&](const std::string &text) {
        return waitUntil(30s, [&] { return host.log().find(text) != std::string::npos; });
    };
    const std::string sound = R"({"name":"a","hostname":"a.example","path_prefix":"/a/",)"
                              R"("route_kind":"safe","service":"pool"})";
    const std::string faulty = R"({"name":"b","hostname":"a.example","path_prefix":"/b/",)"
                               R"("route_kind":"safe","service":7})";
    host.writeOperatorRecord("config", R"({"version":2,"routes":[)" + sound + ',' + faulty + "]}");
    CHECK(isLogged("event=configuration-unreadable field=service path=routes[1].service "
                   "expected=\"a string\""));
    host.writeOperatorRecord("config", R"({"version":2)");
    CHECK(isLogged("event=configuration-unreadable field=document path= "
                   "expected=\"a JSON object\""));
    CHECK(host.metric("lovagecourse_configuration_faults_total") == 2);
    CHECK(host.log().find("event=configuration version=2") == std::string::npos);
    CHECK(host.servesRequest());
}
