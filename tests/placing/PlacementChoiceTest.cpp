#include "placing/PlacementChoice.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lovagecourse;

namespace {

struct PlacementChoiceFixture
{
    static constexpr double objectiveMs = 500;
    static constexpr std::size_t serverCount = 6;
    std::vector<PlacementCandidate> candidates;

    PlacementChoiceFixture()
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            PlacementCandidate candidate;
            candidate.server = ServerId("s" + std::to_string(i));
            candidate.prefillMs = 120;
            candidate.baseMs = 40;
            candidates.push_back(candidate);
        }
    }

    std::size_t choose(std::uint64_t promptHash = 7) const
    {
        return choosePlacement(candidates, promptHash, objectiveMs).value();
    }
};

} // namespace

// Guards against a repeated prefill while a server that has the prompt cached is idle.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, one server has the prompt cached, chooses it")
{
    candidates[3].prefillMs = 10;
    CHECK(choose() == 3);
}

// Guards against a frequent prompt whose requests all queue at the one server that has it cached.
TEST_CASE_METHOD(PlacementChoiceFixture,
                 "placement, caching server has a long wait, chooses another")
{
    candidates[3].prefillMs = 10;
    candidates[3].waitMs = 900;
    CHECK(choose() != 3);
}

// Guards against a new prompt that each router sends to a different server.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, prompt cached nowhere, order does not matter")
{
    const std::size_t first = choose(42);
    std::swap(candidates.front(), candidates.back());
    const std::size_t second = choose(42);
    std::swap(candidates.front(), candidates.back());
    const auto swapped = [&](std::size_t index) {
        if (index == 0)
            return serverCount - 1;
        return index == serverCount - 1 ? std::size_t(0) : index;
    };
    CHECK(first == swapped(second));
}

// Guards against new prompts that are all sent to the same server.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, many new prompts, all servers are chosen")
{
    std::set<std::size_t> chosen;
    for (std::uint64_t prompt = 1; prompt <= 100; ++prompt)
        chosen.insert(choose(prompt));
    CHECK(chosen.size() == serverCount);
}

// Guards against traffic between data centres that does not make answers faster.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, similar servers, chooses the local one")
{
    for (std::size_t i = 1; i < serverCount; ++i)
        candidates[i].isLocal = false;
    candidates[0].baseMs = 45;
    CHECK(choose(0) == 0);
}

// Guards against a server that attracts requests because it fails them fast.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, server fails a third, chooses another")
{
    candidates[2].prefillMs = 10;
    candidates[2].failureRate = 0.33;
    CHECK(choose() != 2);
}

// Guards against refusals while all servers are in backoff.
TEST_CASE_METHOD(PlacementChoiceFixture, "placement, all in backoff, still chooses one")
{
    for (PlacementCandidate &candidate : candidates)
        candidate.isInBackoff = true;
    CHECK(choosePlacement(candidates, 7, objectiveMs).has_value());
}

// Guards against a crash when a service has no server.
TEST_CASE("placement, no candidate, chooses none")
{
    CHECK_FALSE(choosePlacement({}, 7, 500).has_value());
}
