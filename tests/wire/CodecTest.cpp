#include "wire/Codec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lovagecourse;

namespace {

struct CodecFixture
{
    Authenticator fleetKey{"fleet key of the test"};
    std::string linkKey = deriveLinkKey(fleetKey, LinkNonce{1}, LinkNonce{2});
    FrameEncoder encoder{linkKey, true};
    FrameDecoder decoder{linkKey, true};

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

// Guards against fields that encoding and decoding change or lose.
TEST_CASE_METHOD(CodecFixture, "codec, encoded messages, decode to the same values")
{
    const auto decoded = decodeMessages(encodeMessages(sampleMessages()));
    REQUIRE(decoded.index() == 0);
    const auto &messages = std::get<0>(decoded);
    REQUIRE(messages.size() == 2);
    CHECK(std::get<Offer>(messages[0]).flow.account == AccountId("a"));
    CHECK(std::get<AnswerData>(messages[1]).bytes == std::string(100, 'x'));
}

// Guards against news of the store that lose their era.
TEST_CASE_METHOD(CodecFixture, "codec, news of an era of the store, keep it")
{
    const auto decoded = decodeMessages(
            encodeMessages({InStoreEra{StoreEra(5), ServersUnchanged{LogOffset(1), LogOffset(2)}},
                            ConfigurationRead{LogOffset(3)}}));
    REQUIRE(decoded.index() == 0);
    const auto &messages = std::get<0>(decoded);
    REQUIRE(messages.size() == 2);
    const auto &news = std::get<InStoreEra>(messages[0]);
    CHECK(news.era == StoreEra(5));
    CHECK(std::get<ServersUnchanged>(news.content).to == LogOffset(2));
    CHECK(std::get<ConfigurationRead>(messages[1]).next == LogOffset(3));
}

// Guards against exceptions and excessive allocations caused by damaged input.
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

// Guards against accepting frames that were modified or replayed on the network, and against faults
// from frames that arrive in parts.
TEST_CASE_METHOD(CodecFixture, "frame decoder, altered or replayed frames, reports the wrong key")
{
    const std::string first = encoder.encodeFrame("first");
    const std::string second = encoder.encodeFrame("second");
    decoder.append(first);
    CHECK(std::get<0>(decoder.nextPayload()) == "first");

    SECTION("replayed")
    {
        decoder.append(first);
        CHECK(std::get<WireFault>(decoder.nextPayload()) == WireFault::WrongKey);
    }
    SECTION("altered")
    {
        std::string bad = second;
        bad.back() ^= 1;
        decoder.append(bad);
        CHECK(std::get<WireFault>(decoder.nextPayload()) == WireFault::WrongKey);
    }
    SECTION("in pieces")
    {
        decoder.append(second.substr(0, 10));
        CHECK(std::get<0>(decoder.nextPayload()) == std::nullopt);
        decoder.append(second.substr(10));
        CHECK(std::get<0>(decoder.nextPayload()) == "second");
    }
    SECTION("oversized")
    {
        decoder.append(std::string(8, '\xff'));
        CHECK(std::get<WireFault>(decoder.nextPayload()) == WireFault::Oversized);
    }
}

// Guards against accepting damaged datagrams and those signed with another fleet's key.
TEST_CASE_METHOD(CodecFixture, "datagram, damaged or foreign, is rejected with its fault")
{
    const Datagram datagram{DatagramHeader{DaemonId("e1"), Incarnation(5), 1, 1000}, Gossip{}};
    const std::string good = encodeDatagram(fleetKey, datagram);
    REQUIRE(decodeDatagram(fleetKey, good).index() == 0);

    CHECK(std::get<WireFault>(decodeDatagram(fleetKey, good.substr(0, 10)))
          == WireFault::Truncated);
    std::string otherVersion = good;
    otherVersion[0] = 9;
    CHECK(std::get<WireFault>(decodeDatagram(fleetKey, otherVersion)) == WireFault::WrongVersion);
    CHECK(std::get<WireFault>(decodeDatagram(Authenticator("foreign"), good))
          == WireFault::WrongKey);
    CHECK(std::get<WireFault>(decodeDatagram(fleetKey, std::string(5000, 'x')))
          == WireFault::Oversized);
    for (std::size_t i = 2; i < good.size(); ++i) {
        std::string flipped = good;
        flipped[i] ^= 4;
        CHECK(std::get<WireFault>(decodeDatagram(fleetKey, flipped)) == WireFault::WrongKey);
    }
}
