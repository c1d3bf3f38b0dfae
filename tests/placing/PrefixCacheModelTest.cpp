#include "placing/PrefixCacheModel.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct PrefixCacheModelFixture
{
    static constexpr double capacity = 100000;
    PrefixCacheModel cache;

    static std::vector<PromptPrefix> prompt(std::uint64_t shared, std::uint64_t own)
    {
        return makePrefixes(1, {{shared, 10000}, {own, 500}});
    }
};

} // namespace

// Guards against prompts that count as uncached after they were sent.
TEST_CASE_METHOD(PrefixCacheModelFixture,
                 "prefix cache model, shared part sent before, its tokens are cached")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    CHECK(cache.cachedTokens(prompt(1, 3), capacity) == 10000);
    CHECK(cache.cachedTokens(prompt(1, 2), capacity) == 10500);
    CHECK(cache.cachedTokens(prompt(4, 2), capacity) == 0);
}

// Guards against a part that counts as cached after other preceding parts than those it was sent
// with.
TEST_CASE("prefixes, same part after another one, hashes differ")
{
    const auto first = makePrefixes(1, {{1, 10}, {9, 10}});
    const auto second = makePrefixes(1, {{2, 10}, {9, 10}});
    CHECK(first.back().hash != second.back().hash);
    CHECK(makePrefixes(2, {{1, 10}}).front().hash != first.front().hash);
}

// Guards against prefixes that count as cached after newer ones have filled the server's memory.
TEST_CASE_METHOD(PrefixCacheModelFixture, "prefix cache model, many newer parts, oldest is evicted")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    for (std::uint64_t other = 10; other < 20; ++other)
        cache.insert(prompt(other, other + 100), capacity, capacity);
    CHECK(cache.cachedTokens(prompt(1, 2), capacity) == 0);
}

// Guards against prefixes that count as cached after prompts of other routers have filled the
// server's memory.
TEST_CASE_METHOD(PrefixCacheModelFixture,
                 "prefix cache model, other routers filled it, oldest is evicted")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    cache.addPeerTokens(capacity);
    CHECK(cache.cachedTokens(prompt(1, 2), capacity) == 0);
}

// Guards against prefixes that count as cached after a restart has emptied the cache.
TEST_CASE_METHOD(PrefixCacheModelFixture, "prefix cache model, server restarted, nothing is cached")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    cache.clear();
    CHECK(cache.cachedTokens(prompt(1, 2), capacity) == 0);
}

// Guards against routers that consider a prefix evicted although other routers still use it, so
// that it is prefilled at another server.
TEST_CASE_METHOD(PrefixCacheModelFixture,
                 "prefix cache model, prefix used again after a while, is reported again")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    const std::uint64_t shared = prompt(1, 2).front().hash;
    CHECK_FALSE(cache.shouldReport(shared, capacity));
    cache.addPeerTokens(capacity / 5);
    CHECK(cache.shouldReport(shared, capacity));
    CHECK(cache.shouldReport(prompt(3, 4).front().hash, capacity));
}

// Guards against prefixes that count as uncached for good because running requests had filled the
// server's memory when entries were removed.
TEST_CASE_METHOD(PrefixCacheModelFixture,
                 "prefix cache model, no room during an overload, prefixes count again after it")
{
    cache.insert(prompt(1, 2), capacity, capacity);
    const std::vector<PromptPrefix> tiny = makePrefixes(1, {{7, 1}});
    for (std::uint64_t own = 100; own < 3000; ++own)
        cache.insert(makePrefixes(1, {{7, 1}, {own, 1}}), 0, capacity);
    CHECK(cache.cachedTokens(prompt(1, 2), 0) == 0);
    CHECK(cache.cachedTokens(prompt(1, 2), capacity) == 10500);
    cache.addPeerTokens(capacity);
    for (std::uint64_t own = 3000; own < 9000; ++own)
        cache.insert(makePrefixes(1, {{7, 1}, {own, 1}}), 0, capacity);
    CHECK_FALSE(cache.contains(prompt(1, 2).front().hash));
    CHECK(cache.cachedTokens(tiny, capacity) == 1);
}

// Guards against a model that grows without bound: by parts without tokens, which never expire, and
// by reports of other routers at a router that sends nothing itself.
TEST_CASE_METHOD(PrefixCacheModelFixture,
                 "prefix cache model, parts without tokens and reports, entries are limited")
{
    for (std::uint64_t own = 1; own < 20000; ++own)
        cache.insert(makePrefixes(1, {{own, 0}}), capacity, capacity);
    CHECK(cache.size() <= 10000);
    cache.clear();
    for (std::uint64_t hash = 1; hash < 20000; ++hash) {
        cache.insertReported(hash);
        cache.addPeerTokens(1);
    }
    CHECK(cache.size() <= 10000);
    CHECK(cache.contains(19999));
    CHECK(cache.contains(17000));
}
