#include "fairness/ReplyPacer.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against reply traffic above the budget, and against agents that never get a full reply
// because other agents use up the budget.
TEST_CASE("reply pacer, 23 agents report every 250 ms, stays within the budget and answers each")
{
    constexpr double budget = 2800;
    constexpr int agents = 23;
    constexpr std::size_t flows = 5;
    ReplyPacer pacer(budget);
    std::map<int, int> answers;
    const TimePoint start(seconds(100));
    constexpr int rounds = 240;
    for (int round = 0; round < rounds; ++round) {
        for (int agent = 0; agent < agents; ++agent) {
            const TimePoint now = start + milliseconds(250 * round + agent * 10);
            const ReplyKind reply = pacer.nextReply(DaemonId(std::to_string(agent)), flows, now);
            answers[agent] += reply == ReplyKind::Full ? 1 : 0;
        }
    }
    int total = 0;
    for (const auto &[agent, count] : answers) {
        total += count;
        REQUIRE(count >= 10);
    }
    // 60 s; each agent may get one full reply before the reply cycle is first computed.
    constexpr double answerBytes = 110 + 50 * flows;
    REQUIRE((total - agents) * answerBytes <= budget * rounds / 4);
}

// Guards against agents that consider a healthy home unreachable because the budget left their
// reports without a reply for 3 s.
TEST_CASE("reply pacer, more reports than the budget can answer, none waits for 3 s")
{
    constexpr int agents = 100;
    ReplyPacer pacer(2800);
    std::map<int, TimePoint> answered;
    for (int round = 0; round < 240; ++round) {
        for (int agent = 0; agent < agents; ++agent) {
            const TimePoint now = TimePoint(seconds(100)) + milliseconds(250 * round + agent * 2);
            const bool isFirst = !answered.contains(agent);
            const bool isAnswered =
                    pacer.nextReply(DaemonId(std::to_string(agent)), 12, now) != ReplyKind::None;
            REQUIRE((isFirst || now - answered[agent] < seconds(3)));
            if (isAnswered)
                answered[agent] = now;
        }
    }
}
