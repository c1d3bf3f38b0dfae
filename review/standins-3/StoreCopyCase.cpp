// The store comes back from an older copy, and its operator takes a key away at once. Broken if a
// router still runs requests with that key after every bound has passed.

#include "Case.h"

using namespace review;

namespace {

constexpr std::size_t routerCount = 3;
constexpr std::int64_t awayMs = 1200;
// Age of the copy beyond the time for which the store was away: "some seconds old".
constexpr std::int64_t copyMs = 2000;
// From the store's return to the newest configuration being written again, and from there to the
// next change.
constexpr std::int64_t rewriteMs = 20;
constexpr std::int64_t changeMs = 500;
// config_ms, and outer_ms beside stable_window_ms on the small sites.
constexpr std::int64_t configMs = 2000;
constexpr std::int64_t stretchMs = 3000 + 5000;

/// Both tenants may call the desk; tenant-b's key is listed if hasSecond is set.
std::string configuration(int version, int timeoutMs, bool hasSecond)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"lookup","hostname":"a.example","path_prefix":"/lookup/",)"
             R"("route_kind":"safe","timeout_ms":)"
           + std::to_string(timeoutMs)
           + R"(,"slo_ms":300,"priority":1,"service":"desk","max_attempts":2,"public":false,)"
             R"("sticky":false,"resumable":false}],)"
             R"("services":[{"name":"desk","health_path":"/healthz","max_conns":100,)"
             R"("protocol":"h1","tls":false}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1600000},)"
             R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1})"
           + (hasSecond ? R"(,{"name":"tenant-b","api_keys":["key-b"],"priority":1})" : "") + "]}";
}

} // namespace

int main(int argc, char **argv)
{
    const CaseSetting setting = caseSetting(argc, argv);
    Record record(setting.record);
    std::atomic<int> lateRuns{0};
    std::atomic<bool> isLate{false};
    Store store;
    const auto put = [&](int version, int timeoutMs, bool hasSecond) {
        const auto offset =
                store.put("keyed.op", "config", configuration(version, timeoutMs, hasSecond));
        record.write("acknowledged configuration ", version, " at offset ", offset, ", key-b ",
                     hasSecond ? "listed" : "taken away");
    };
    const auto answer = [&](AppServer &server, Connection &connection, const Message &request) {
        const std::string tenant = request.header("x-lovagecourse-tenant");
        record.write("run at ", server.id(),
                     " request=", request.header("x-lovagecourse-attempt-id"), " tenant=", tenant);
        if (isLate && tenant == "tenant-b")
            ++lateRuns;
        return server.sendWhole(connection, request, 200, "found");
    };
    put(1, 1500, true);
    AppServer first(store, "desk-1", {"desk"}, answer);
    AppServer second(store, "desk-2", {"desk"}, answer);
    if (!first.start() || !second.start())
        return notRun;
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < routerCount; ++i) {
        routers.push_back(std::make_unique<Router>(
                setting.root, setting.folder, "router-" + std::to_string(i + 1), store.port()));
        routers.back()->start();
    }
    for (const auto &router : routers) {
        if (!router->waitReady(15000))
            return notRun;
    }
    int number = 0;
    const auto ask = [&](const Router &router, const std::string &key) {
        const std::string id = "request-" + std::to_string(++number);
        const CallResult result =
                call(router.callers(),
                     "GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: " + id
                             + "\r\nX-Lovagecourse-Deadline-Ms: 1500\r\nAuthorization: Token " + key
                             + "\r\nConnection: close\r\n\r\n",
                     milliseconds(3000));
        record.write("sent ", id, " with ", key, " to ", router.name(), ": ", result.status);
        return result.status;
    };
    sleepMs(1500);
    for (const auto &router : routers) {
        if (ask(*router, "key-a") != 200 || ask(*router, "key-b") != 200)
            return notRun;
    }
    put(2, 1400, true);
    sleepMs(300);
    put(3, 1300, true);
    // All routers have both before the drill.
    sleepMs(1500);
    if (setting.hasTrouble) {
        record.write("the store is away");
        store.setMode(Store::Mode::Silent);
        sleepMs(awayMs);
        store.restore(milliseconds(awayMs + copyMs));
        record.write("the store is back from a copy, end of keyed.op: ", store.endOf("keyed.op"));
        store.setMode(Store::Mode::Up);
    }
    sleepMs(rewriteMs);
    if (setting.hasTrouble)
        put(3, 1300, true);
    sleepMs(changeMs);
    put(4, 1300, false);
    sleepMs(stretchMs + configMs);
    isLate = true;
    record.write("all bounds have passed");
    int accepted = 0;
    int served = 0;
    for (const auto &router : routers) {
        for (int i = 0; i < 5; ++i) {
            accepted += ask(*router, "key-b") == 200 ? 1 : 0;
            served += ask(*router, "key-a") == 200 ? 1 : 0;
        }
    }
    for (const auto &router : routers) {
        if (router->endStatus())
            return notRun;
    }
    record.write("with the key that was taken away: accepted ", accepted, ", run ", lateRuns.load(),
                 "; with the other key: served ", served);
    if (served == 0)
        return notRun;
    return lateRuns > 0 ? ruleBroken : ruleHeld;
}
