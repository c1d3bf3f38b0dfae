#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

// Long enough for a busy machine.
constexpr std::chrono::seconds limit{30};
// Bounds of the settings: after them, a change that the store has acknowledged is in force.
constexpr std::chrono::seconds bound{4};
constexpr unsigned maxMemoryMb = 256;

/// Routers that share a store and two servers of one service.
struct StoreCopyFixture
{
    LoopbackStore store;
    std::atomic<bool> isStopping = false;
    std::array<std::atomic<int>, 2> requestsAt{0, 0};
    std::vector<std::unique_ptr<LoopbackServer>> servers;
    std::vector<std::unique_ptr<RouterProcess>> routers;

    StoreCopyFixture()
    {
        store.write(LoopbackStore::operatorTopic, "config", configuration(1));
        for (std::size_t i = 0; i < requestsAt.size(); ++i) {
            servers.push_back(std::make_unique<LoopbackServer>(
                    [this, i](LoopbackConnection &connection) { answerRequests(connection, i); }));
            writeServer(i);
        }
        for (const char *name : {"router-1", "router-2", "router-3"})
            routers.push_back(startRouter(name));
        for (const auto &router : routers) {
            if (!waitUntil(limit, [&] { return statusAt(*router, "/plain/") == 200; }))
                throw std::runtime_error("a router does not serve");
        }
    }
    ~StoreCopyFixture()
    {
        isStopping = true;
        routers.clear();
    }

    std::unique_ptr<RouterProcess> startRouter(const std::string &name) const
    {
        return std::make_unique<RouterProcess>(name, store.endpoint(), maxMemoryMb);
    }

    void answerRequests(LoopbackConnection &connection, std::size_t server)
    {
        RawMessage request;
        while (!isStopping && readHead(connection, request, 5s)) {
            ++requestsAt.at(server);
            if (!answerOk(connection, request))
                return;
            request = {};
        }
    }

    /// Configuration of a version, with a second route at this prefix.
    static std::string configuration(int version, const std::string &second = "/second/")
    {
        std::string text = poolConfiguration();
        const auto replace = [&](const std::string &from, const std::string &to) {
            text.replace(text.find(from), from.size(), to);
        };
        replace("\"version\":1", "\"version\":" + std::to_string(version));
        replace("/stream/", second);
        replace("streaming", "safe");
        return text;
    }
    void configure(int version, const std::string &second = "/second/")
    {
        store.write(LoopbackStore::operatorTopic, "config", configuration(version, second));
    }
    bool isRead(int version) const
    {
        const std::string line = "event=configuration version=" + std::to_string(version) + ' ';
        return waitUntil(limit, [&] {
            return std::all_of(routers.begin(), routers.end(), [&](const auto &router) {
                return router->log().find(line) != std::string::npos;
            });
        });
    }

    static std::string serverName(std::size_t server)
    {
        return "pool-" + std::to_string(server + 1);
    }
    void writeServer(std::size_t server, const std::string &state = "ready")
    {
        store.write(LoopbackStore::serversTopic, serverName(server),
                    R"({"service":"pool","address":")" + servers.at(server)->endpoint()
                            + R"(","zone":"zone-a","version":"v1","slots":1000,"state":")" + state
                            + R"(","cold_left_ms":0,"sequence":1,"born":1700000000000})");
    }
    void removeServer(std::size_t server)
    {
        store.write(LoopbackStore::serversTopic, serverName(server), "");
    }

    static int statusAt(const RouterProcess &router, const std::string &path)
    {
        LoopbackConnection caller(router.callers());
        RawMessage answer;
        const bool isAnswered = caller.isOpen()
                                && caller.send(requestHead(path) + "Content-Length: 0\r\n\r\n")
                                && readMessage(caller, answer, 5s);
        return isAnswered ? answer.status() : 0;
    }

    void goAwayUntilNoticed()
    {
        store.goAway();
        std::this_thread::sleep_for(1200ms);
    }
};

} // namespace

// Guards against a configuration that routers never read because the store, back from an older
// copy, has given its offset out again.
TEST_CASE_METHOD(StoreCopyFixture, "store copy, offsets given out again, configuration is in force")
{
    store.makeCopy();
    configure(2);
    configure(3);
    REQUIRE(isRead(3));
    const std::size_t end = store.end(LoopbackStore::operatorTopic);
    goAwayUntilNoticed();
    store.restoreCopy();
    configure(3);
    configure(4, "/other/");
    REQUIRE(store.end(LoopbackStore::operatorTopic) == end);
    store.comeBack();
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers) {
        CHECK(statusAt(*router, "/second/") == 404);
        CHECK(statusAt(*router, "/plain/") == 200);
        CHECK(router->metric("lovagecourse_store_era_changes_total") == 1);
    }
}

// Guards against an older configuration of the copy that replaces the one in force.
TEST_CASE_METHOD(StoreCopyFixture,
                 "store copy, configuration not written again yet, newest stays in force")
{
    store.makeCopy();
    configure(2, "/other/");
    REQUIRE(isRead(2));
    goAwayUntilNoticed();
    store.restoreCopy();
    store.comeBack();
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers)
        CHECK(statusAt(*router, "/second/") == 404);
    // A router that starts now has nothing else, until the newest is written again.
    const auto late = startRouter("router-4");
    CHECK(waitUntil(limit, [&] { return statusAt(*late, "/second/") == 200; }));
    configure(2, "/other/");
    std::this_thread::sleep_for(bound);
    CHECK(statusAt(*late, "/second/") == 404);
}

// Guards against a removal that is lost for good because its offset was given out before, against
// the loss of a server that has joined since the copy, and against one that comes back from it.
TEST_CASE_METHOD(StoreCopyFixture, "store copy, servers came and left, routers know them")
{
    const auto pause = [] { std::this_thread::sleep_for(1500ms); };
    removeServer(0);
    pause();
    store.makeCopy();
    writeServer(0);
    removeServer(1);
    pause();
    goAwayUntilNoticed();
    store.restoreCopy();
    store.comeBack();
    pause();
    // The copy lists the second server only.
    const std::array<int, 2> before{requestsAt[0], requestsAt[1]};
    for (const auto &router : routers)
        CHECK(statusAt(*router, "/plain/") == 200);
    CHECK(requestsAt[0] == before[0] + 3);
    CHECK(requestsAt[1] == before[1]);
    writeServer(0);
    removeServer(1);
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers) {
        CHECK(router->metric("lovagecourse_servers") == 1);
        CHECK(statusAt(*router, "/plain/") == 200);
    }
    CHECK(requestsAt[1] == before[1]);
    // The two records have the offsets that those before the return had.
    removeServer(0);
    writeServer(1);
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers)
        CHECK(statusAt(*router, "/plain/") == 200);
    CHECK(requestsAt[1] == before[1] + 3);
}

// Guards against requests to an evacuated data centre whose record the store has lost.
TEST_CASE_METHOD(StoreCopyFixture, "store copy, evacuation lost, holds until it is written again")
{
    const auto writeEvacuation = [&] {
        store.write(LoopbackStore::operatorTopic, "evacuate/zone-a", "{}");
    };
    store.makeCopy();
    writeEvacuation();
    for (const auto &router : routers) {
        REQUIRE(waitUntil(
                limit, [&] { return router->metric("lovagecourse_evacuated_data_centres") == 1; }));
    }
    const int before = requestsAt[0] + requestsAt[1];
    goAwayUntilNoticed();
    store.restoreCopy();
    store.comeBack();
    const auto allRead = [&] {
        return std::all_of(routers.begin(), routers.end(), [&](const auto &router) {
            return router->metric("lovagecourse_store_era_changes_total") == 1;
        });
    };
    REQUIRE(waitUntil(limit, allRead));
    std::this_thread::sleep_for(500ms);
    for (const auto &router : routers)
        CHECK(statusAt(*router, "/plain/") == 503);
    writeEvacuation();
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers)
        CHECK(statusAt(*router, "/plain/") == 503);
    CHECK(requestsAt[0] + requestsAt[1] == before);
}

// Guards against routers that those that start later don't find, as the store has lost the records.
TEST_CASE_METHOD(StoreCopyFixture, "store copy, record of a router lost, it is written again")
{
    const auto isListed = [&](const std::string &name) {
        return waitUntil(limit, [&] { return store.contains(LoopbackStore::routersTopic, name); });
    };
    REQUIRE(isListed("router-1"));
    store.makeCopy();
    const auto fourth = startRouter("router-4");
    REQUIRE(isListed("router-4"));
    goAwayUntilNoticed();
    store.restoreCopy();
    CHECK_FALSE(store.contains(LoopbackStore::routersTopic, "router-4"));
    store.comeBack();
    CHECK(isListed("router-4"));
}

// Guards against a router that never reads again because the store has stopped to name its era.
TEST_CASE_METHOD(StoreCopyFixture, "store copy, era is missing from now on, changes are in force")
{
    store.hideEra();
    configure(2, "/other/");
    std::this_thread::sleep_for(bound);
    configure(3);
    std::this_thread::sleep_for(bound);
    for (const auto &router : routers) {
        CHECK(statusAt(*router, "/second/") == 200);
        CHECK(router->metric("lovagecourse_configuration_version") == 3);
        CHECK(router->metric("lovagecourse_store_era_changes_total") == 1);
    }
}
