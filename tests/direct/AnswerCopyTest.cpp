#include "direct/AnswerCopy.h"

#include "http/ConnectionReuse.h"
#include "platform/HeaderCodec.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against copies of other answers that are delivered, and against sound bodies about HTTP
// that are not.
TEST_CASE("answer copy, body with a status line, depends on framing and connection")
{
    const platform::HeaderCodec codec;
    const std::string status = "a HTTP/1.1 200 OK\r\n";
    const std::string copy =
            status + "X-A: b\r\nX-Lovagecourse-Attempt-Id: id\r\nContent-Length: 1\r\n\r\nx";
    constexpr auto unframed = BodyFraming::ConnectionEnd;
    CHECK(mayContainCopy(copy, unframed, true, codec));
    CHECK(mayContainCopy(status, unframed, true, codec));
    CHECK(mayContainCopy(copy, unframed, false, codec));
    CHECK_FALSE(mayContainCopy(status + "X-A: b", unframed, false, codec));
    CHECK(mayContainCopy(copy, BodyFraming::Length, true, codec));
    CHECK_FALSE(mayContainCopy(status, BodyFraming::Length, true, codec));
    CHECK_FALSE(mayContainCopy(copy, BodyFraming::Length, false, codec));
    CHECK_FALSE(mayContainCopy(copy, BodyFraming::Chunked, true, codec));
    CHECK_FALSE(mayContainCopy("uses HTTP/1.1 and HTTP/1.x 200", unframed, true, codec));
    CHECK_FALSE(mayContainCopy("", unframed, true, codec));
}

// Guards against a connection that carries a request although it may hold bytes of another answer.
TEST_CASE("connection reuse, each kind of end, reuses only after a framed and named answer")
{
    CHECK(mayReuse({BodyFraming::Length, true}));
    CHECK(mayReuse({BodyFraming::Chunked, true}));
    CHECK_FALSE(mayReuse({BodyFraming::ConnectionEnd, true}));
    for (const auto framing :
         {BodyFraming::Length, BodyFraming::Chunked, BodyFraming::ConnectionEnd})
        CHECK_FALSE(mayReuse({framing, false}));
}
