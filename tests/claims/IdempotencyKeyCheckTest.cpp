#include "claims/IdempotencyKeyCheck.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct KeyCheckFixture
{
    // The time in the key is 0x0192f0c1d2e3 ms after the epoch.
    std::string key = "0192f0c1-d2e3-7abc-8def-0123456789ab";
    WallTime keyTime{milliseconds(0x0192f0c1d2e3)};
    seconds window{3600};
};

} // namespace

// Guards against keys whose age can't be told, for which an old claim may have left the log.
TEST_CASE_METHOD(KeyCheckFixture, "idempotency key, not a UUID version 7, has no time")
{
    CHECK(uuidVersion7Time(key) == keyTime);
    const std::vector<std::pair<std::size_t, char>> damages{{14, '4'}, {19, 'c'}, {19, '7'},
                                                            {8, '0'},  {0, 'g'},  {35, ' '}};
    for (const auto &[position, digit] : damages) {
        std::string bad = key;
        bad[position] = digit;
        CHECK_FALSE(uuidVersion7Time(bad));
    }
    CHECK_FALSE(uuidVersion7Time(key + "0"));
    CHECK_FALSE(uuidVersion7Time(""));
    CHECK(uuidVersion7Time("ffffffff-ffff-7abc-8def-0123456789ab") == WallTime::max());
}

// Guards against keys outside the time for which claims are kept.
TEST_CASE_METHOD(KeyCheckFixture, "idempotency key, age at the limits, gets the reason")
{
    const IdempotencyKey id(key);
    CHECK_FALSE(checkIdempotencyKey(id, keyTime + window, window));
    CHECK(checkIdempotencyKey(id, keyTime + window + milliseconds(1), window)
          == RefusalReason::KeyTooOld);
    CHECK_FALSE(checkIdempotencyKey(id, keyTime - seconds(60), window));
    CHECK(checkIdempotencyKey(id, keyTime - seconds(61), window) == RefusalReason::KeyMalformed);
    CHECK(checkIdempotencyKey(IdempotencyKey(), keyTime, window) == RefusalReason::KeyMissing);
}
