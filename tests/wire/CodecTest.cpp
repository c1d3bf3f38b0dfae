#include "wire/Codec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lovagecourse;

namespace {

struct CodecFixture
{
    Authenticator fleetKey{"fleet key of the test"};
    std::string linkKey = deriveLinkKey(fleetKey, LinkNonce{1}, LinkNonce{2});
    FrameSealer sealer{linkKey, true};
    FrameOpener opener{linkKey, true};

    static std::vector<Message> sampleMessages()
    {
        AnswerData data;
        data.grant = GrantId(7);
        data.firstEvent = 3;
        data.bytes = std::string(100, 'x');
        return {Offer{OfferId(1), FlowId{AccountId("a"), ServiceId("s")}, ModelId("m")}, data};
    }
};

} // namespace

// Guards against messages that change on their way.
TEST_CASE_METHOD(CodecFixture, "codec, encoded messages, decode to the same values")
{
    const auto decoded = decodeMessages(encodeMessages(sampleMessages()));
    REQUIRE(decoded.index() == 0);
    const auto &messages = std::get<0>(decoded);
    REQUIRE(messages.size() == 2);
    CHECK(std::get<Offer>(messages[0]).flow.account == AccountId("a"));
    CHECK(std::get<AnswerData>(messages[1]).bytes == std::string(100, 'x'));
}

// Guards against exceptions and wild allocations from damaged input.
TEST_CASE_METHOD(CodecFixture, "codec, truncated or bit-flipped messages, never throw")
{
    const std::string good = encodeMessages(sampleMessages());
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK(decodeMessages(good.substr(0, length)).index() == 1);
    std::mt19937 random(11);
    for (int round = 0; round < 2000; ++round) {
        std::string bad = good;
        bad[random() % bad.size()] ^= static_cast<char>(1U << (random() % 8));
        CHECK_NOTHROW(decodeMessages(bad));
    }
}

// Guards against frames that were altered, repeated or swapped on the wire.
TEST_CASE_METHOD(CodecFixture, "frame opener, altered or replayed frames, reports the wrong key")
{
    const std::string first = sealer.seal("first");
    const std::string second = sealer.seal("second");
    opener.append(first);
    CHECK(std::get<0>(opener.next()) == "first");

    SECTION("replayed")
    {
        opener.append(first);
        CHECK(std::get<WireFault>(opener.next()) == WireFault::WrongKey);
    }
    SECTION("altered")
    {
        std::string bad = second;
        bad.back() ^= 1;
        opener.append(bad);
        CHECK(std::get<WireFault>(opener.next()) == WireFault::WrongKey);
    }
    SECTION("in pieces")
    {
        opener.append(second.substr(0, 10));
        CHECK(std::get<0>(opener.next()) == std::nullopt);
        opener.append(second.substr(10));
        CHECK(std::get<0>(opener.next()) == "second");
    }
    SECTION("oversized")
    {
        opener.append(std::string(8, '\xff'));
        CHECK(std::get<WireFault>(opener.next()) == WireFault::Oversized);
    }
}

// Guards against datagrams from outside the fleet or damaged ones.
TEST_CASE_METHOD(CodecFixture, "datagram, damaged or foreign, is refused with its reason")
{
    const Datagram datagram{DatagramHeader{DaemonId("e1"), Incarnation(5), 1, 1000}, Gossip{}};
    const std::string good = sealDatagram(fleetKey, datagram);
    REQUIRE(openDatagram(fleetKey, good).index() == 0);

    CHECK(std::get<WireFault>(openDatagram(fleetKey, good.substr(0, 10))) == WireFault::Truncated);
    std::string otherVersion = good;
    otherVersion[0] = 9;
    CHECK(std::get<WireFault>(openDatagram(fleetKey, otherVersion)) == WireFault::WrongVersion);
    CHECK(std::get<WireFault>(openDatagram(Authenticator("foreign"), good)) == WireFault::WrongKey);
    CHECK(std::get<WireFault>(openDatagram(fleetKey, std::string(5000, 'x')))
          == WireFault::Oversized);
    for (std::size_t i = 2; i < good.size(); ++i) {
        std::string flipped = good;
        flipped[i] ^= 4;
        CHECK(std::get<WireFault>(openDatagram(fleetKey, flipped)) == WireFault::WrongKey);
    }
}
