#include "gateway/RequestStream.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

const std::string get = "GET /a:b HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string postHead = "POST /x HTTP/1.1\r\ncontent-LENGTH: \t6 \r\nHost: h\r\n\r\n";
const std::string chunkedHead = "POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n";
/// Bytes that are a fault in a head.
const std::string sixBytes("\r\n\0\n:\n", 6);

RequestStream received(const std::string &bytes, std::size_t middle)
{
    RequestStream stream;
    stream.receive(std::string_view(bytes).substr(0, middle));
    stream.receive(std::string_view(bytes).substr(middle));
    return stream;
}

} // namespace

// Guards against a body end that is missed, so that a later head is taken for a body or a body for
// a head, wherever the bytes are divided.
TEST_CASE("request stream, pipelined requests in two pieces, finds each head and body")
{
    const std::string chunks = "6;a=b\r\n" + sixBytes + "\r\n0\r\nX-T: 1\r\n\r\n";
    const std::string bytes =
            "\r\n" + get + postHead + sixBytes + "\r\n" + chunkedHead + chunks + get;
    for (std::size_t middle = 0; middle <= bytes.size(); ++middle) {
        CAPTURE(middle);
        RequestStream stream = received(bytes, middle);
        CHECK(stream.takeHead() == get.size());
        CHECK(stream.takeHead() == postHead.size());
        CHECK(stream.takeHead() == chunkedHead.size());
        CHECK(stream.takeHead() == get.size());
        CHECK(stream.isBodyComplete());
        CHECK_FALSE(stream.takeHead());
    }
}

// Guards against a body that counts as complete before its last byte.
TEST_CASE("request stream, body without its last byte, is incomplete")
{
    const std::string bytes = GENERATE(postHead + sixBytes, chunkedHead + "0\r\n\r\n",
                                       chunkedHead + "1\r\na\r\n0\r\nX-T: 1\r\n\r\n");
    CAPTURE(bytes);
    RequestStream stream = received(bytes.substr(0, bytes.size() - 1), 0);
    CHECK_FALSE(stream.isBodyComplete());
    REQUIRE(stream.takeHead());
    CHECK_FALSE(stream.isBodyComplete());
    stream.receive(bytes.substr(bytes.size() - 1));
    CHECK(stream.isBodyComplete());
}

// Guards against lines that end in another way than in CR LF, and against lengths that are read in
// two ways, wherever the bytes are divided; the request before them must stay valid.
TEST_CASE("request stream, head with a fault, is not found")
{
    const std::string line = GENERATE(
            as<std::string>(), ":\n", std::string("\0\n", 2), std::string("X:\0\n", 4),
            std::string("X:\0\r\n", 5), std::string("X: b\r\0\r\n", 8), "X: b\n", "X: b\r",
            "Content-Length: 1\r\nContent-Length: 1\r\n", "Content-Length: 1x\r\n",
            "Content-Length: -1\r\n", "Content-Length:\r\n", "Content-Length: 1000000000000000\r\n",
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n",
            "Content-Length:" + std::string(60, ' ') + "1\r\n");
    const std::string bytes = get + "POST /x HTTP/1.1\r\nHost: h\r\n" + line + "\r\n";
    for (std::size_t middle = 0; middle <= bytes.size(); ++middle) {
        CAPTURE(line, middle);
        RequestStream stream = received(bytes, middle);
        CHECK(stream.takeHead() == get.size());
        CHECK(stream.isBodyComplete());
        CHECK_FALSE(stream.takeHead());
        stream.receive(get);
        CHECK_FALSE(stream.takeHead());
    }
}

// Guards against chunks and trailers that hide a request: the body then never counts as complete.
TEST_CASE("request stream, chunked body with a fault, is incomplete")
{
    const std::string body = GENERATE(
            as<std::string>(), "1\na\r\n0\r\n\r\n", "1\r\na\n0\r\n\r\n", "1\r\nab\r\n0\r\n",
            "x\r\n\r\n", "-1\r\n\r\n", "1 2\r\n", "\r\n0\r\n\r\n", "fffffffffffffffff\r\n\r\n",
            "0\r\n\n", std::string("0\r\n\0\n", 5), std::string("0\r\nX:\0\n\r\n", 9), "0\n\r\n");
    CAPTURE(body);
    RequestStream stream = received(chunkedHead + body + get, 0);
    CHECK(stream.takeHead() == chunkedHead.size());
    CHECK_FALSE(stream.isBodyComplete());
    CHECK_FALSE(stream.takeHead());
}
