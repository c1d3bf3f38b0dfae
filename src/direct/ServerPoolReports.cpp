#include "direct/ServerPool.h"
#include "direct/TakeFirst.h"
#include "wire/ReportHash.h"

#include <algorithm>
#include <utility>

namespace lovagecourse {

namespace {

constexpr double perCent = 100;
// Reports must fit into one datagram of 1,400 bytes; a server takes 18 and a prefix 12 bytes.
constexpr std::size_t serversPerReport = 40;
constexpr std::size_t prefixesPerReport = 24;
constexpr double maxReportedMs = 65535;

std::uint16_t toReportedMs(double value)
{
    return static_cast<std::uint16_t>(std::clamp(value, 0., maxReportedMs));
}

/// Returns the last report, or a new one when it has no room for another server.
template <class Report>
Report &reportForServer(std::vector<Report> &reports)
{
    if (reports.back().servers.size() == serversPerReport)
        reports.emplace_back();
    return reports.back();
}

/// Adds the server's last reported slowness with its age.
void addSlowness(RouterServerLoad &load, const ServerModel &model, TimePoint now)
{
    load.slownessAgeMs = toReportedMs(toMs(now - model.slownessReportedAt()));
    load.slownessPercent = static_cast<std::uint16_t>(model.reportedSlowness() * perCent);
}

bool isRecent(TimePoint time, TimePoint now)
{
    return time != TimePoint() && now - time < PeerLoads::reportTimeout;
}

} // namespace

ServerPool::Server *ServerPool::findByHash(std::uint32_t hash)
{
    const auto found = serversByHash_.find(hash);
    return found == serversByHash_.end() ? nullptr : found->second;
}

void ServerPool::markUnreported(Server &server)
{
    if (std::exchange(server.hasUnreportedSends, true))
        return;
    unreportedServers_.push_back(&server);
}

void ServerPool::markUnrelayed(Server &server)
{
    if (!isRelaying_ || std::exchange(server.hasUnrelayedLoad, true))
        return;
    unrelayedServers_.push_back(&server);
}

void ServerPool::setRelaying(bool isRelaying)
{
    isRelaying_ = isRelaying;
    if (isRelaying)
        return;
    unrelayedPrefixes_.clear();
    for (Server *server : unrelayedServers_)
        server->hasUnrelayedLoad = false;
    unrelayedServers_.clear();
}

void ServerPool::applyLoads(const std::string &sender, std::uint32_t counter,
                            const std::vector<RouterServerLoad> &loads, bool isMember,
                            TimePoint now)
{
    const LoadSources::Numbered numbered = sources_.onReport(sender, isMember, now);
    if (numbered.isNew) {
        for (auto &[id, server] : servers_)
            server.peerLoads.forget(numbered.source);
    }
    for (const RouterServerLoad &load : loads) {
        Server *server = findByHash(load.server);
        if (!server)
            continue;
        ReportedServerLoad reported;
        reported.load.backlogMs = load.backlogMs;
        reported.load.overdueMs = load.overdueMs;
        reported.load.running = load.running;
        reported.sentTokens = load.sentTokens;
        reported.counter = counter;
        const std::uint32_t sent = server->peerLoads.apply(numbered.source, reported, now);
        server->cache.addPeerTokens(sent);
        if (isMember) {
            server->memberTokens += sent;
            if (load.slownessPercent > 0)
                server->memberSlownessReceived = now;
            markUnrelayed(*server);
        }
        if (load.slownessPercent > 0)
            server->model.onReportedSlowness(load.slownessPercent / perCent,
                                             now - milliseconds(load.slownessAgeMs));
    }
}

void ServerPool::insertReportedPrefix(Server &server, std::uint64_t prefix)
{
    server.cache.insertReported(prefix);
    // Only first parts are looked up; the report does not tell which of them this is.
    addPrefixHolder(prefix, server);
}

void ServerPool::addPrefixHolder(std::uint64_t prefix, Server &server)
{
    prefixHolders_.add(prefix, &server);
    prefixHolders_.removeExpired(
            [](const Server &holder, std::uint64_t hash) { return holder.cache.contains(hash); });
}

void ServerPool::applyPrefixes(const std::vector<RouterSentPrefix> &prefixes, bool isMember)
{
    for (const RouterSentPrefix &sent : prefixes) {
        if (Server *server = findByHash(sent.server))
            insertReportedPrefix(*server, sent.prefix);
    }
    if (isMember && isRelaying_)
        unrelayedPrefixes_.insert(unrelayedPrefixes_.end(), prefixes.begin(), prefixes.end());
}

void ServerPool::applyReport(const DaemonId &router, const RouterReport &report, bool isMember,
                             TimePoint now)
{
    applyLoads(router.value, 0, report.servers, isMember, now);
    applyPrefixes(report.prefixes, isMember);
}

void ServerPool::applyReport(const DataCentreReport &report, TimePoint now)
{
    applyLoads("data-centre/" + report.dataCentre.value, reportHash(report.relay.value),
               report.servers, false, now);
    applyPrefixes(report.prefixes, false);
}

RouterServerLoad ServerPool::ownLoad(Server &server, TimePoint now)
{
    const bool hasSlowness = isRecent(server.slownessReceived, now);
    server.wasReported = server.model.running() > 0 || hasSlowness;
    RouterServerLoad load;
    load.server = reportHash(server.entry.id.value);
    load.backlogMs = toReportedMs(server.model.backlogMs(now));
    load.overdueMs = toReportedMs(server.model.overdueMs(now));
    load.sentTokens = server.sentTokens;
    load.running = static_cast<std::uint16_t>(server.model.running());
    if (hasSlowness)
        addSlowness(load, server.model, now);
    return load;
}

RouterServerLoad ServerPool::dataCentreLoad(Server &server, TimePoint now)
{
    const PeerLoad members = server.peerLoads.sumOf(sources_.members(), now);
    const unsigned running = server.model.running() + members.running;
    const bool hasSlowness =
            isRecent(server.slownessReceived, now) || isRecent(server.memberSlownessReceived, now);
    server.wasRelayed = running > 0 || hasSlowness;
    RouterServerLoad load;
    load.server = reportHash(server.entry.id.value);
    load.backlogMs = toReportedMs(server.model.backlogMs(now) + members.backlogMs);
    load.overdueMs = toReportedMs(std::max(server.model.overdueMs(now), members.overdueMs));
    load.sentTokens = server.sentTokens + server.memberTokens;
    load.running = static_cast<std::uint16_t>(std::min(running, 65535U));
    if (hasSlowness)
        addSlowness(load, server.model, now);
    return load;
}

std::vector<RouterReport> ServerPool::makeReports(bool onlyUnreported, TimePoint now)
{
    std::vector<RouterReport> reports(1);
    std::vector<Server *> included = std::exchange(unreportedServers_, {});
    for (Server *server : included)
        server->hasUnreportedSends = false;
    if (!onlyUnreported) {
        included.clear();
        for (auto &[id, server] : servers_) {
            // A server that became idle is reported once more, so that other routers clear its
            // load.
            if (server.wasReported || server.model.running() > 0
                || isRecent(server.slownessReceived, now))
                included.push_back(&server);
        }
    }
    for (Server *server : included)
        reportForServer(reports).servers.push_back(ownLoad(*server, now));
    reports.back().prefixes = takeFirst(unreportedPrefixes_, prefixesPerReport);
    return reports;
}

std::vector<DataCentreReport> ServerPool::makeDataCentreReports(bool onlyUnrelayed, TimePoint now)
{
    std::vector<DataCentreReport> reports(1);
    std::vector<Server *> included = std::exchange(unrelayedServers_, {});
    for (Server *server : included)
        server->hasUnrelayedLoad = false;
    if (!onlyUnrelayed) {
        included.clear();
        for (auto &[id, server] : servers_)
            included.push_back(&server);
    }
    for (Server *server : included) {
        const bool wasRelayed = server->wasRelayed;
        const RouterServerLoad load = dataCentreLoad(*server, now);
        if (onlyUnrelayed || wasRelayed || server->wasRelayed)
            reportForServer(reports).servers.push_back(load);
    }
    reports.back().prefixes = takeFirst(unrelayedPrefixes_, prefixesPerReport);
    while (!unrelayedPrefixes_.empty()) {
        reports.emplace_back();
        reports.back().prefixes = takeFirst(unrelayedPrefixes_, prefixesPerReport);
    }
    return reports;
}

} // namespace lovagecourse
