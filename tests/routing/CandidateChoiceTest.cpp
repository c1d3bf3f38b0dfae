#include "routing/CandidateChoice.h"

#include <catch2/catch.hpp>

#include <map>

using namespace lovagecourse;

namespace {

struct CandidateChoiceFixture
{
    std::mt19937_64 random{5};
    DataCentreId own{"dc-1"};

    static Candidate server(const std::string &name, double inFlight)
    {
        Candidate candidate;
        candidate.server = ServerId(name);
        candidate.dataCentre = DataCentreId("dc-1");
        candidate.usable = true;
        candidate.limit = 4;
        candidate.inFlight = inFlight;
        candidate.serviceTimeMs = 400;
        return candidate;
    }
};

} // namespace

// Guards against offers to servers that are down, leaving or already have an offer of the request.
TEST_CASE_METHOD(CandidateChoiceFixture,
                 "candidate choice, unusable or offered servers, skips them")
{
    std::vector<Candidate> servers{server("a", 0), server("b", 0), server("c", 9)};
    servers[0].usable = false;
    servers[1].alreadyOffered = true;
    CHECK(chooseCandidates(servers, own, 7, 3, random) == std::vector{ServerId("c")});
    CHECK(chooseCandidates({}, own, 7, 2, random).empty());
}

// Guards against prefix affinity that outweighs a queue, and against an expected wait of 0 while no
// slot is free.
TEST_CASE_METHOD(CandidateChoiceFixture, "candidate choice, one server has a queue, comes last")
{
    CHECK(expectedWaitMs(server("a", 3)) == 0);
    CHECK(expectedWaitMs(server("a", 4)) == Approx(100));
    const std::vector<Candidate> servers{server("a", 8), server("b", 1), server("c", 4)};
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
        const auto chosen = chooseCandidates(servers, own, prefix, 3, random);
        CHECK(chosen == std::vector{ServerId("b"), ServerId("c"), ServerId("a")});
    }
}

// Guards against idle servers that never get offers, and against entries that prefer different
// servers for the same prefix.
TEST_CASE_METHOD(CandidateChoiceFixture,
                 "candidate choice, equal servers, prefix or chance decides")
{
    std::vector<Candidate> servers{server("a", 0), server("b", 0), server("c", 0)};
    std::map<ServerId, int> first;
    for (int i = 0; i < 3000; ++i)
        ++first[chooseCandidates(servers, own, 0, 1, random).front()];
    for (const auto &[id, count] : first)
        CHECK(count == Approx(1000).margin(150));
    const ServerId preferred = chooseCandidates(servers, own, 77, 1, random).front();
    std::swap(servers[0], servers[2]);
    servers[1].dataCentre = DataCentreId("dc-2");
    for (int i = 0; i < 50; ++i) {
        CHECK(chooseCandidates(servers, own, 77, 1, random).front() == preferred);
        CHECK(chooseCandidates(servers, own, 0, 3, random).back() == servers[1].server);
    }
}
