#include "Measure.h"

#include "MeasureSpeed.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <thread>

namespace lovagecourse {

using nlohmann::json;

namespace {

// The engines are scaled down: 8 streams at 40 ms per token yield 200 tokens/s per engine.
constexpr double kneeBatchSize = 8;
constexpr double baseInterTokenLatencyMs = 40;
// Short compared with a request, so that the capacity hardly depends on the request count.
constexpr double prefillMs = 20;
constexpr double tokensPerSecondPerEngine = kneeBatchSize * 1000 / baseInterTokenLatencyMs;
// The load tool reports its timeline in buckets of 100 ms.
constexpr double timelineBucketsPerSecond = 10;
// Concurrency limits start at half their upper bound and converge within this time.
constexpr double warmUpSeconds = 3;
// Long requests occupy all slots within this time, before the short requests start.
constexpr double slotFillSeconds = 5;

/// One policy under measurement: its name and the lines of its [policy] settings.
struct Policy
{
    const char *name;
    const char *lines;
};

using Arguments = std::vector<std::string>;

std::string text(double value)
{
    return json(value).dump();
}

double capacityOf(const MeasureOptions &options)
{
    return tokensPerSecondPerEngine * options.fleet.engines;
}

/// Starts a fleet with the policy; null if it does not become ready.
std::unique_ptr<MeasureFleet> startFleet(const MeasureOptions &options, const Policy &policy)
{
    MeasureFleetOptions fleet = options.fleet;
    fleet.policy = policy.lines;
    fleet.engineOptions = {"--base-gap-ms", text(baseInterTokenLatencyMs),
                           "--knee",        text(kneeBatchSize),
                           "--prefill-ms",  text(prefillMs),
                           "--load-lag-ms", "2000"};
    auto started = std::make_unique<MeasureFleet>(std::move(fleet));
    if (!started->start())
        return nullptr;
    return started;
}

/// Command line of a load tool that sends to one entry.
Arguments loadArguments(const MeasureFleet &fleet, const MeasureOptions &options, int entry,
                        double rate, const std::string &model = "m")
{
    return {"--target",
            fleet.entryUrl(entry),
            "--stream",
            "--model",
            model,
            "--rate",
            text(rate),
            "--seconds",
            text(options.seconds),
            "--drain-seconds",
            "3",
            "--seed",
            std::to_string(options.seed * 100 + static_cast<std::uint64_t>(entry))};
}

void addAccount(Arguments &arguments, int account, double weight)
{
    const std::string name = "a" + std::to_string(account);
    arguments.insert(arguments.end(), {"--account", name + '=' + name + "-key@" + text(weight)});
}

void appendArguments(Arguments &arguments, const Arguments &more)
{
    arguments.insert(arguments.end(), more.begin(), more.end());
}

/// Heavy-tailed costs: 5 % of the requests are long, and 0.3 % cost 20 times as much. The mean
/// cost is meanMixedTokens.
const Arguments mixedLoadArguments{"--max-tokens", "24",          "--mix",
                                   "0.05:160",     "--straggler", "0.003"};
constexpr double meanMixedTokens = (0.95 * 24 + 0.05 * 160) * (1 + 0.003 * 19);

/// Loads the entries unevenly (entry n gets a rate proportional to 1/n). The demand factor is the
/// offered load relative to the capacity; with bursts the rate quadruples for 2 s in every 10 s.
void startMixedLoad(MeasureFleet &fleet, const MeasureOptions &options, double demandFactor,
                    bool hasBursts)
{
    const double rate = demandFactor * capacityOf(options) / meanMixedTokens;
    double shares = 0;
    for (int entry = 1; entry <= options.fleet.entries; ++entry)
        shares += 1. / entry;
    for (int entry = 1; entry <= options.fleet.entries; ++entry) {
        Arguments arguments =
                loadArguments(fleet, options, entry, rate / static_cast<double>(entry) / shares);
        appendArguments(arguments, mixedLoadArguments);
        if (hasBursts)
            arguments.emplace_back("--swing");
        // Every entry serves the 3 large accounts; the 12 small accounts are split among entries.
        for (int account = 1; account <= 15; ++account) {
            const bool isLarge = account <= 3;
            if (isLarge || account % options.fleet.entries == entry - 1)
                addAccount(arguments, account, isLarge ? 4 : 1);
        }
        fleet.startLoad("load-" + std::to_string(entry), arguments);
    }
}

std::vector<json> reportsOf(MeasureFleet &fleet, const MeasureOptions &options)
{
    std::vector<json> reports;
    for (int entry = 1; entry <= options.fleet.entries; ++entry)
        reports.push_back(fleet.report("load-" + std::to_string(entry)));
    return reports;
}

double sumOf(const std::vector<json> &reports, const char *name)
{
    double sum = 0;
    for (const json &report : reports)
        sum += report.value(name, 0.);
    return sum;
}

double refusedCount(const std::vector<json> &reports)
{
    double refused = 0;
    for (const json &report : reports) {
        for (const auto &[status, count] : report["refused"].items())
            refused += count.get<double>();
    }
    return refused;
}

/// Tokens of all accounts between two times, in seconds since the start of the load.
double tokensBetween(const std::vector<json> &reports, double from, double to)
{
    double tokens = 0;
    for (const json &report : reports) {
        for (const auto &[account, buckets] : report["timeline_100ms"].items()) {
            const auto last = static_cast<std::size_t>(to * timelineBucketsPerSecond);
            for (auto i = static_cast<std::size_t>(from * timelineBucketsPerSecond); i < last; ++i)
                tokens += i < buckets.size() ? buckets[i].get<double>() : 0;
        }
    }
    return tokens;
}

/// Largest change, in tokens, of the difference in service between two accounts over any
/// interval.
double largestServiceDivergence(const std::vector<json> &reports,
                                const std::vector<std::string> &accounts, double from, double to)
{
    std::map<std::string, double> served;
    std::map<std::pair<std::string, std::string>, std::pair<double, double>> range;
    for (auto i = static_cast<std::size_t>(from * timelineBucketsPerSecond);
         i < static_cast<std::size_t>(to * timelineBucketsPerSecond); ++i) {
        for (const json &report : reports) {
            for (const auto &[account, buckets] : report["timeline_100ms"].items())
                served[account] += i < buckets.size() ? buckets[i].get<double>() : 0;
        }
        for (const std::string &left : accounts) {
            for (const std::string &right : accounts) {
                auto &[low, high] = range[{left, right}];
                low = std::min(low, served[left] - served[right]);
                high = std::max(high, served[left] - served[right]);
            }
        }
    }
    double divergence = 0;
    for (const auto &[pair, lowHigh] : range)
        divergence = std::max(divergence, lowHigh.second - lowHigh.first);
    return divergence;
}

json outcomeSummary(const std::vector<json> &reports)
{
    double late = 0;
    double latency = 0;
    for (const json &report : reports) {
        late = std::max(late, report["first_token_ms"]["p99"].get<double>());
        latency = std::max(latency, report["latency_ms"]["p99"].get<double>());
    }
    return {{"sent", sumOf(reports, "sent")},
            {"ok", sumOf(reports, "ok")},
            {"refused", refusedCount(reports)},
            {"wrong", sumOf(reports, "wrong")},
            {"truncated", sumOf(reports, "truncated")},
            {"failed", sumOf(reports, "failed")},
            {"unfinished", sumOf(reports, "unfinished")},
            {"first_token_p99_ms", std::round(late)},
            {"latency_p99_ms", std::round(latency)}};
}

/// Nonzero counters of faults, retries, hedges and grants, summed over all daemons and labels.
json nonzeroCounters(const MeasureFleet &fleet)
{
    json counters = json::object();
    for (const char *name : {"lovagecourse_streams_aborted_total", "lovagecourse_answer_gaps_total",
                             "lovagecourse_retries_total", "lovagecourse_hedges_total",
                             "lovagecourse_grants_declined_total", "lovagecourse_grants_total",
                             "lovagecourse_runs_failed_total", "lovagecourse_offers_refused_total",
                             "lovagecourse_agent_silences_total"}) {
        double sum = 0;
        for (const auto &[daemon, value] : fleet.metrics(name))
            sum += value;
        if (sum > 0)
            counters[name] = sum;
    }
    return counters;
}

/// Runs every policy on its own fleet; a policy whose fleet does not become ready has no row.
void runPolicies(MeasureTable &table, const MeasureOptions &options,
                 const std::vector<Policy> &policies,
                 const std::function<MeasureRow(MeasureFleet &)> &run)
{
    for (const Policy &policy : policies) {
        const auto fleet = startFleet(options, policy);
        if (!fleet)
            continue;
        MeasureRow row = run(*fleet);
        row.policy = policy.name;
        row.details["counters"] = nonzeroCounters(*fleet);
        table.rows.push_back(std::move(row));
    }
}

constexpr Policy defaultPolicy{"offers, fleet fairness", ""};
constexpr Policy pushRandom{"push-random", "routing = \"push-random\""};
constexpr Policy pushTwoChoices{"push-two-choices", "routing = \"push-two-choices\""};
constexpr Policy loadReport{"load-report", "routing = \"load-report\""};

/// Accounts 1 and 2 request a model that half of the engines serve, accounts 3 to 5 one that all
/// engines serve; the fair share of each account is a fifth of the capacity.
MeasureTable measureFairness(const MeasureOptions &options)
{
    MeasureTable table{"fairness-gap", "s of fleet capacity", 1, false, options.seed, {}};
    const double capacity = capacityOf(options);
    const double meanCost = 24 * 0.9 + 96 * 0.1;
    const double largestCost = 96;
    table.target = 1 + 2 * largestCost / capacity;
    const std::vector<Policy> policies{defaultPolicy,
                                       {"per-agent", "fairness = \"per-agent\""},
                                       {"first-come", "fairness = \"first-come\""}};
    runPolicies(table, options, policies, [&](MeasureFleet &fleet) {
        // The demands differ, but each exceeds the account's fair share.
        const double demand[] = {0.35, 0.3, 0.5, 0.4, 0.3};
        for (int account = 1; account <= 5; ++account) {
            const int entry = 1 + account % options.fleet.entries;
            const double rate = demand[account - 1] * capacity / meanCost;
            const std::string model = account <= 2 ? "n" : "m";
            Arguments arguments = loadArguments(fleet, options, entry, rate, model);
            // A distinct seed per account: load tools at one entry must not draw equal arrivals.
            arguments.back() += std::to_string(account);
            appendArguments(arguments, {"--max-tokens", "24", "--mix", "0.1:96"});
            addAccount(arguments, account, 1);
            fleet.startLoad("load-" + std::to_string(account), arguments);
        }
        std::vector<json> reports;
        for (int account = 1; account <= 5; ++account)
            reports.push_back(fleet.report("load-" + std::to_string(account)));
        MeasureRow row;
        row.value = largestServiceDivergence(reports, {"a1", "a2", "a3", "a4", "a5"}, warmUpSeconds,
                                             options.seconds)
                    / capacity;
        row.details = outcomeSummary(reports);
        row.details["utilisation"] = tokensBetween(reports, warmUpSeconds, options.seconds)
                                     / capacity / (options.seconds - warmUpSeconds);
        return row;
    });
    return table;
}

/// Measures the first-token times of short requests ("quotes", 8 tokens) while long requests
/// ("dossiers", 100 tokens) demand the given share of the capacity; 0 starts no long requests.
json runShortRequests(MeasureFleet &fleet, const MeasureOptions &options, double longRequestDemand)
{
    const double capacity = capacityOf(options);
    Arguments shortRequests = loadArguments(fleet, options, 1, 0.15 * capacity / 8);
    appendArguments(shortRequests, {"--max-tokens", "8"});
    for (int account = 1; account <= 5; ++account)
        addAccount(shortRequests, account, 1);
    MeasureOptions longer = options;
    longer.seconds += slotFillSeconds;
    Arguments longRequests = loadArguments(fleet, longer, 2, longRequestDemand * capacity / 100);
    appendArguments(longRequests, {"--max-tokens", "100"});
    for (int account = 6; account <= 10; ++account)
        addAccount(longRequests, account, 1);
    if (longRequestDemand > 0) {
        fleet.startLoad("dossiers", longRequests);
        std::this_thread::sleep_for(std::chrono::duration<double>(slotFillSeconds));
    }
    fleet.startLoad("quotes", shortRequests);
    json report = fleet.report("quotes");
    if (longRequestDemand > 0)
        fleet.report("dossiers");
    return report;
}

/// Ratio of the short requests' p99 first-token time with long requests to that without.
MeasureTable measureHeadOfLine(const MeasureOptions &options)
{
    MeasureTable table{
            "head-of-line", "ratio of quotes' p99 first token", 2, false, options.seed, {}};
    const std::vector<Policy> policies{{"offers, cost classes", ""},
                                       {"one class", "cost_classes = false"}};
    MeasureOptions phaseOptions = options;
    phaseOptions.seconds = options.seconds * 0.75;
    runPolicies(table, phaseOptions, policies, [&](MeasureFleet &fleet) {
        const json withoutLong = runShortRequests(fleet, phaseOptions, 0);
        const json withLong = runShortRequests(fleet, phaseOptions, 1.5);
        const double p99WithoutLong = withoutLong["first_token_ms"]["p99"].get<double>();
        const double p99WithLong = withLong["first_token_ms"]["p99"].get<double>();
        MeasureRow row;
        row.value = p99WithLong / p99WithoutLong;
        row.details = {{"p99_alone_ms", p99WithoutLong},
                       {"p99_beside_dossiers_ms", p99WithLong},
                       {"p50_alone_ms", withoutLong["first_token_ms"]["p50"]},
                       {"p50_beside_dossiers_ms", withLong["first_token_ms"]["p50"]},
                       {"quotes", withLong["sent"]},
                       {"ok", withLong["ok"]}};
        return row;
    });
    return table;
}

/// Served share of the capacity at a demand of 1.3 times the capacity.
MeasureTable measureUtilisation(const MeasureOptions &options)
{
    MeasureTable table{"utilisation", "share of capacity", 0.95, true, options.seed, {}};
    runPolicies(table, options, {defaultPolicy, pushRandom, pushTwoChoices},
                [&](MeasureFleet &fleet) {
                    startMixedLoad(fleet, options, 1.3, false);
                    const std::vector<json> reports = reportsOf(fleet, options);
                    MeasureRow row;
                    row.value = tokensBetween(reports, warmUpSeconds, options.seconds)
                                / (capacityOf(options) * (options.seconds - warmUpSeconds));
                    row.details = outcomeSummary(reports);
                    return row;
                });
    return table;
}

/// Served share of the capacity during a burst ("swing") of load.
MeasureTable measurePeak(const MeasureOptions &options)
{
    MeasureTable table{"peak-of-swing", "share of capacity", 0.95, true, options.seed, {}};
    const std::vector<Policy> policies{{"offers, moving limit", ""},
                                       {"fixed limit 4", "fixed_limit = 4"},
                                       {"fixed limit 32", "fixed_limit = 32"}};
    runPolicies(table, options, policies, [&](MeasureFleet &fleet) {
        startMixedLoad(fleet, options, 0.45, true);
        const std::vector<json> reports = reportsOf(fleet, options);
        MeasureRow row;
        // The peak lasts from 4 s to 6 s at 1.8 times the capacity. The batches are full after
        // about 1 s, and the backlog of the peak lasts beyond 7 s.
        row.value = tokensBetween(reports, 5, 7) / (capacityOf(options) * 2);
        row.details = outcomeSummary(reports);
        return row;
    });
    return table;
}

/// Ratio of the p99 latency with 3 engines slowed down by a factor of 5 to that without.
MeasureTable measureTail(const MeasureOptions &options)
{
    MeasureTable table{"tail-slow-servers", "ratio of p99 latency", 1.5, false, options.seed, {}};
    const std::vector<Policy> policies{
            {"offers, hedging", ""}, {"offers, no hedging", "hedging = false"}, loadReport};
    MeasureOptions phaseOptions = options;
    phaseOptions.seconds = options.seconds * 0.75;
    const auto runOnce = [&](MeasureFleet &fleet) {
        // Equal costs, so that the percentile reflects slow servers and not request sizes.
        const double rate = 0.6 * capacityOf(phaseOptions) / 24;
        Arguments arguments = loadArguments(fleet, phaseOptions, 1, rate);
        for (int entry = 2; entry <= phaseOptions.fleet.entries; ++entry)
            appendArguments(arguments, {"--target", fleet.entryUrl(entry)});
        appendArguments(arguments, {"--max-tokens", "24"});
        // The p99 depends on the slowest answers, so the load tool waits for all of them.
        *(std::find(arguments.begin(), arguments.end(), "--drain-seconds") + 1) = "12";
        for (int account = 1; account <= 15; ++account)
            addAccount(arguments, account, account <= 3 ? 4 : 1);
        fleet.startLoad("load", arguments);
        return fleet.report("load");
    };
    runPolicies(table, phaseOptions, policies, [&](MeasureFleet &fleet) {
        const json healthy = runOnce(fleet);
        for (int engine = 1; engine <= 3; ++engine)
            fleet.control(engine * 6, {{"slow_factor", 5}});
        const json slowed = runOnce(fleet);
        MeasureRow row;
        row.value = slowed["latency_ms"]["p99"].get<double>()
                    / healthy["latency_ms"]["p99"].get<double>();
        row.details = {{"healthy_ms", healthy["latency_ms"]},
                       {"slowed_ms", slowed["latency_ms"]},
                       {"sent", slowed["sent"]},
                       {"ok", slowed["ok"]},
                       {"unfinished", slowed["unfinished"]}};
        return row;
    });
    return table;
}

double largestValue(const std::map<std::string, double> &values)
{
    double largest = 0;
    for (const auto &[daemon, value] : values)
        largest = std::max(largest, value);
    return largest;
}

std::map<std::string, double> rate(const std::map<std::string, double> &before,
                                   const std::map<std::string, double> &after, double seconds)
{
    std::map<std::string, double> result;
    for (const auto &[daemon, value] : after)
        result[daemon] = (value - before.at(daemon)) / seconds;
    return result;
}

/// Datagrams carry only control traffic. The CPU time of the idle fleet is spent on control too;
/// links also carry request and answer bodies.
MeasureTable measureControl(const MeasureOptions &options)
{
    MeasureTable table{
            "control-traffic", "KB/s in datagrams, largest daemon", 8, false, options.seed, {}};
    runPolicies(table, options, {defaultPolicy}, [&](MeasureFleet &fleet) {
        const auto idleStart = fleet.metrics("process_cpu_seconds_total");
        const auto idleSentStart = fleet.metrics("lovagecourse_datagram_sent_bytes_total");
        constexpr double idleSeconds = 5;
        std::this_thread::sleep_for(std::chrono::duration<double>(idleSeconds));
        const auto idleEnd = fleet.metrics("process_cpu_seconds_total");
        const auto sentBefore = fleet.metrics("lovagecourse_datagram_sent_bytes_total");
        const auto idleSent = rate(idleSentStart, sentBefore, idleSeconds);
        const auto linkBefore = fleet.metrics("lovagecourse_link_sent_bytes_total");
        const auto start = std::chrono::steady_clock::now();
        startMixedLoad(fleet, options, 1.1, false);
        const std::vector<json> reports = reportsOf(fleet, options);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
        const auto sent = rate(sentBefore, fleet.metrics("lovagecourse_datagram_sent_bytes_total"),
                               took.count());
        const auto link =
                rate(linkBefore, fleet.metrics("lovagecourse_link_sent_bytes_total"), took.count());
        const auto cpu = rate(idleEnd, fleet.metrics("process_cpu_seconds_total"), took.count());
        MeasureRow row;
        row.value = largestValue(sent) / 1000;
        row.details = {{"datagram_bytes_per_s", sent},
                       {"idle_datagram_bytes_per_s", idleSent},
                       {"idle_cpu_share", largestValue(rate(idleStart, idleEnd, idleSeconds))},
                       {"loaded_cpu_share", largestValue(cpu)},
                       {"peak_memory_mb",
                        largestValue(fleet.metrics("process_peak_resident_bytes")) / 1e6},
                       {"link_kb_per_s_with_bodies", largestValue(link) / 1000},
                       {"tokens_per_s", sumOf(reports, "tokens_per_second")}};
        return row;
    });
    return table;
}

using Measure = MeasureTable (*)(const MeasureOptions &);

const std::vector<std::pair<std::string, Measure>> &allMeasures()
{
    static const std::vector<std::pair<std::string, Measure>> measures{
            {"fairness", &measureFairness},
            {"head-of-line", &measureHeadOfLine},
            {"utilisation", &measureUtilisation},
            {"peak", &measurePeak},
            {"tail", &measureTail},
            {"control", &measureControl},
            {"speed", &measureSpeed}};
    return measures;
}

} // namespace

std::vector<std::string> measureNames()
{
    std::vector<std::string> names;
    for (const auto &[name, measure] : allMeasures())
        names.push_back(name);
    return names;
}

MeasureTable runMeasureByName(const std::string &name, const MeasureOptions &options)
{
    for (const auto &[known, measure] : allMeasures()) {
        if (known == name)
            return measure(options);
    }
    return {};
}

} // namespace lovagecourse
