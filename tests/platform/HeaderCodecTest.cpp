#include "platform/HeaderCodec.h"

#include "http/HttpClient.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace lovagecourse;

namespace {

struct HeaderCodecFixture
{
    platform::HeaderCodec codec;
};

} // namespace

// Guards against prompt parts that are decoded wrongly, so that the request is sent to a server
// that has not cached them.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, model request, decodes prompt and size")
{
    const ClientRequest request = codec.decodeRequest(
            {{"x-lovagecourse-model", "m"},
             {"x-lovagecourse-token-usage", "1460,80"},
             {"x-lovagecourse-length-hint", "60"},
             {"x-lovagecourse-prompt-prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
             {"x-lovagecourse-deadline-ms", "8000"},
             {"authorization", "Token secret"}});
    CHECK(request.model == "m");
    CHECK(request.promptTokens == 1460);
    CHECK(request.maxOutputTokens == 80);
    CHECK(request.expectedOutputTokens == 60);
    REQUIRE(request.prompt.size() == 3);
    CHECK(request.prompt[1].id == 0x91bd3f06);
    CHECK(request.prompt[1].tokens == 410);
    CHECK(request.callerTimeout == milliseconds(8000));
    CHECK(request.key == "secret");
}

// Guards against a crash or a wrong value when a caller sends malformed headers.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, malformed values, are ignored")
{
    const ClientRequest request =
            codec.decodeRequest({{"x-lovagecourse-token-usage", "x,,"},
                                 {"x-lovagecourse-length-hint", "-7"},
                                 {"x-lovagecourse-prompt-prefix", "12:30,zz:5,13:10"},
                                 {"x-lovagecourse-deadline-ms", "-4"},
                                 {"authorization", "Basic secret"}});
    CHECK(request.promptTokens == 0);
    CHECK(request.expectedOutputTokens == 0);
    CHECK(request.prompt.size() == 1);
    CHECK_FALSE(request.callerTimeout);
    CHECK(request.key.empty());
}

// Guards against a load header that is decoded in the wrong order or unit.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, answer with load, decodes it")
{
    const ServerAnswer answer =
            codec.decodeAnswer(200, {{"x-lovagecourse-instance-load", "3,1,8,250"},
                                     {"x-lovagecourse-server-stamp", "st"},
                                     {"connection", "close"}});
    REQUIRE(answer.load);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->waiting == 1);
    CHECK(answer.load->slots == 8);
    CHECK(answer.load->slowness == 2.5);
    CHECK(answer.isSigned);
    CHECK_FALSE(answer.notExecuted);
    CHECK(findHeader(answer.forwarded, "connection").empty());
}

// Guards against a request that counts as possibly run although the server states that it did not
// run it.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, server did not run the request, is detected")
{
    CHECK(codec.decodeAnswer(421, {}).notExecuted);
    CHECK(codec.decodeAnswer(503, {{"x-lovagecourse-not-executed", "1"}}).notExecuted);
    CHECK_FALSE(codec.decodeAnswer(503, {}).notExecuted);
}

// Guards against a server's leaving or pause that is not understood, and against a value that is
// understood as something else.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, server leaves, is detected by the value 1 only")
{
    CHECK(codec.decodeAnswer(200, {{"server-leaving", "1"}}).isLeaving);
    CHECK(codec.decodeAnswer(503, {{"server-leaving", "0"}, {"server-leaving", "1"}}).isLeaving);
    for (const char *value : {"", "0", "true", "11", "1,1"})
        CHECK_FALSE(codec.decodeAnswer(200, {{"server-leaving", value}}).isLeaving);
    CHECK_FALSE(codec.decodeAnswer(200, {}).isLeaving);
}

// Guards against numbers that are none and make every prediction that uses them one.
TEST_CASE_METHOD(HeaderCodecFixture, "header codec, numbers beyond their range, stay usable")
{
    for (const std::string value : {"1,2,8,nan", "1,2,8,inf", "nan,nan,nan,nan", "inf,1,1"}) {
        CAPTURE(value);
        const auto load = codec.decodeAnswer(200, {{"x-lovagecourse-instance-load", value}}).load;
        CHECK((!load || std::isfinite(load->slowness)));
        CHECK((!load || load->slots == 8));
    }
    const auto huge =
            codec.decodeAnswer(200, {{"x-lovagecourse-instance-load", "1e300,1e300,1e300,1e300"}})
                    .load;
    REQUIRE(huge);
    CHECK(huge->running > 0);
    CHECK(huge->running <= 1000000000);
    const ClientRequest request = codec.decodeRequest(
            {{"x-lovagecourse-deadline-ms", "1e300"}, {"x-lovagecourse-token-usage", "nan,inf"}});
    REQUIRE(request.callerTimeout);
    CHECK(*request.callerTimeout > seconds(60));
    CHECK(*request.callerTimeout + std::chrono::hours(24) > *request.callerTimeout);
    CHECK(std::isfinite(request.promptTokens));
    CHECK(std::isfinite(request.maxOutputTokens));
    CHECK_FALSE(codec.decodeRequest({{"x-lovagecourse-deadline-ms", "nan"}}).callerTimeout);
}

TEST_CASE_METHOD(HeaderCodecFixture, "header codec, server limit, is a plain number only")
{
    const auto limit = [&](const std::string &value) {
        const ServerAnswer answer = codec.decodeAnswer(200, {{"server-limit", value}});
        CHECK(answer.namesLimit);
        return answer.limitPerSecond;
    };
    CHECK(limit("12") == 12.);
    CHECK(limit("0") == 0.);
    CHECK(limit("7.25") == 7.25);
    CHECK(limit("1000000000") == 1e9);
    for (const std::string &value :
         {std::string(), std::string("-1"), std::string("-0.5"), std::string("few"),
          std::string("2 a second"), std::string("1e3"), std::string("inf"), std::string("nan"),
          std::string("2,3"), std::string(400, '9')}) {
        CAPTURE(value);
        CHECK_FALSE(limit(value));
    }
    CHECK(codec.decodeAnswer(503,
                             {{"server-limit", "5"}, {"server-limit", "x"}, {"server-limit", "3"}})
                  .limitPerSecond
          == 3.);
    CHECK_FALSE(codec.decodeAnswer(200, {}).namesLimit);
}

TEST_CASE_METHOD(HeaderCodecFixture, "header codec, retry-after, is a pause with 503 only")
{
    const auto pause = [&](const std::string &value) {
        return codec.decodeAnswer(503, {{"retry-after", value}}).pause;
    };
    CHECK(pause("2") == milliseconds(2000));
    CHECK(pause("0") == milliseconds(0));
    CHECK(pause("0.25") == milliseconds(250));
    CHECK(pause("99999999999999999999") == milliseconds(1000000000000));
    CHECK(pause(std::string(400, '9')) == milliseconds(1000000000000));
    for (const char *value : {"", "-1", "-0.5", "soon", "2 s", "1e3", "inf", "nan", "2,3",
                              "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(value);
        CHECK_FALSE(pause(value));
    }
    CHECK(codec.decodeAnswer(503,
                             {{"retry-after", "1"}, {"retry-after", "3"}, {"retry-after", "x"}})
                  .pause
          == milliseconds(3000));
    CHECK_FALSE(codec.decodeAnswer(200, {{"retry-after", "2"}}).pause);
    CHECK_FALSE(codec.decodeAnswer(429, {{"retry-after", "2"}}).pause);
    CHECK_FALSE(codec.decodeAnswer(503, {}).pause);
}
