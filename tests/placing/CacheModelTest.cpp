#include "placing/CacheModel.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct CacheModelFixture
{
    static constexpr double capacity = 100000;
    CacheModel cache;

    static std::vector<PromptPrefix> prompt(std::uint64_t shared, std::uint64_t own)
    {
        return makePrefixes(1, {{shared, 10000}, {own, 500}});
    }
};

} // namespace

// Guards against prompts that are thought to be unread after they were sent.
TEST_CASE_METHOD(CacheModelFixture, "cache model, shared part sent before, keeps its tokens")
{
    cache.insert(prompt(1, 2), capacity);
    CHECK(cache.keptTokens(prompt(1, 3), capacity) == 10000);
    CHECK(cache.keptTokens(prompt(1, 2), capacity) == 10500);
    CHECK(cache.keptTokens(prompt(4, 2), capacity) == 0);
}

// Guards against a part that counts as kept behind other parts than it was read behind.
TEST_CASE("prefixes, same part behind another one, differ")
{
    const auto first = makePrefixes(1, {{1, 10}, {9, 10}});
    const auto second = makePrefixes(1, {{2, 10}, {9, 10}});
    CHECK(first.back().hash != second.back().hash);
    CHECK(makePrefixes(2, {{1, 10}}).front().hash != first.front().hash);
}

// Guards against trust in parts that the engine has dropped for newer ones.
TEST_CASE_METHOD(CacheModelFixture, "cache model, many newer parts, forgets the oldest")
{
    cache.insert(prompt(1, 2), capacity);
    for (std::uint64_t other = 10; other < 20; ++other)
        cache.insert(prompt(other, other + 100), capacity);
    CHECK(cache.keptTokens(prompt(1, 2), capacity) == 0);
}

// Guards against a cache that other routers fill unseen.
TEST_CASE_METHOD(CacheModelFixture, "cache model, other routers sent much, forgets the oldest")
{
    cache.insert(prompt(1, 2), capacity);
    cache.advance(capacity);
    CHECK(cache.keptTokens(prompt(1, 2), capacity) == 0);
}

// Guards against trust in a cache that a restart has emptied.
TEST_CASE_METHOD(CacheModelFixture, "cache model, server restarted, keeps nothing")
{
    cache.insert(prompt(1, 2), capacity);
    cache.clear();
    CHECK(cache.keptTokens(prompt(1, 2), capacity) == 0);
}

// Guards against routers that forget a beginning which others still use, and read it elsewhere.
TEST_CASE_METHOD(CacheModelFixture,
                 "cache model, beginning used again after a while, is told again")
{
    cache.insert(prompt(1, 2), capacity);
    const std::uint64_t shared = prompt(1, 2).front().hash;
    CHECK_FALSE(cache.isWorthTelling(shared, capacity));
    cache.advance(capacity / 5);
    CHECK(cache.isWorthTelling(shared, capacity));
    CHECK(cache.isWorthTelling(prompt(3, 4).front().hash, capacity));
}
