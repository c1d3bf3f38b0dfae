#include "../../standins/PrefixCache.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against a cache that never evicts, which would hide the cost of poor prefix affinity.
TEST_CASE("prefix cache, full, evicts the least recently used prefix")
{
    PrefixCache cache(2);
    CHECK_FALSE(cache.touch("a"));
    CHECK_FALSE(cache.touch("b"));
    CHECK(cache.touch("a"));
    CHECK_FALSE(cache.touch("c"));
    CHECK(cache.touch("a"));
    CHECK_FALSE(cache.touch("b"));
}

// Guards against prompts that share their first 256 bytes but miss the cache.
TEST_CASE("prefix cache, messages that differ after 256 bytes, hit")
{
    PrefixCache cache(2);
    const std::string prefix(256, 'x');
    CHECK_FALSE(cache.touch(prefix + "one"));
    CHECK(cache.touch(prefix + "two"));
    CHECK_FALSE(cache.touch(prefix.substr(1)));
}
