#include "claims/IdempotencyKeyCheck.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct KeyCheckFixture
{
    // The key's timestamp is 0x0192f0c1d2e3 ms after the epoch.
    std::string key = "0192f0c1-d2e3-7abc-8def-0123456789ab";
    WallTime keyTime{milliseconds(0x0192f0c1d2e3)};
    seconds window{3600};
};

} // namespace

// Guards against accepting a key without a valid timestamp: its age is unknown, so an earlier claim
// of it may already have expired from the log.
TEST_CASE_METHOD(KeyCheckFixture, "idempotency key, not a UUID version 7, has no time")
{
    CHECK(uuidVersion7Time(key) == keyTime);
    const std::vector<std::pair<std::size_t, char>> corruptions{{14, '4'}, {19, 'c'}, {19, '7'},
                                                                {8, '0'},  {0, 'g'},  {35, ' '}};
    for (const auto &[position, digit] : corruptions) {
        std::string bad = key;
        bad[position] = digit;
        CHECK_FALSE(uuidVersion7Time(bad));
    }
    CHECK_FALSE(uuidVersion7Time(key + "0"));
    CHECK_FALSE(uuidVersion7Time(""));
    CHECK(uuidVersion7Time("ffffffff-ffff-7abc-8def-0123456789ab") == WallTime::max());
}

// Guards against accepting keys whose claims may have expired from the log, or whose timestamp is
// too far in the future, and against refusing keys within these limits.
TEST_CASE_METHOD(KeyCheckFixture, "idempotency key, age at the limits, gets the reason")
{
    const IdempotencyKey id(key);
    CHECK_FALSE(checkIdempotencyKey(id, keyTime + window, window));
    CHECK(checkIdempotencyKey(id, keyTime + window + milliseconds(1), window)
          == RefusalReason::IdempotencyKeyTooOld);
    CHECK_FALSE(checkIdempotencyKey(id, keyTime - seconds(60), window));
    CHECK(checkIdempotencyKey(id, keyTime - seconds(61), window)
          == RefusalReason::IdempotencyKeyMalformed);
    CHECK(checkIdempotencyKey(IdempotencyKey(), keyTime, window)
          == RefusalReason::IdempotencyKeyMissing);
}
