#include "http/SocketTable.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

const ConnectionAddress address{"127.0.0.1", 80, 40000};

} // namespace

// Guards against a connection whose check for unread bytes reads the socket of another one.
TEST_CASE("socket table, addresses differ in one part, have their own sockets")
{
    SocketTable table;
    table.add(address, 5);
    table.add({"127.0.0.2", 80, 40000}, 6);
    table.add({"127.0.0.1", 81, 40000}, 7);
    table.add({"127.0.0.1", 80, 40001}, 8);
    CHECK(table.find(address) == 5);
    CHECK(table.find({"127.0.0.2", 80, 40000}) == 6);
    CHECK(table.find({"127.0.0.1", 81, 40000}) == 7);
    CHECK(table.find({"127.0.0.1", 80, 40001}) == 8);
    CHECK_FALSE(table.find({"127.0.0.2", 81, 40001}));
}

// Guards against a closed socket, whose number the system may give to another file.
TEST_CASE("socket table, socket removed, its address is unknown")
{
    SocketTable table;
    table.add(address, 5);
    table.remove(5);
    table.remove(6);
    CHECK_FALSE(table.find(address));
}

// Guards against an old address that leads to the new connection of a reused socket number.
TEST_CASE("socket table, socket added again, has only its last address")
{
    SocketTable table;
    table.add(address, 5);
    table.add({"127.0.0.1", 80, 40001}, 5);
    CHECK_FALSE(table.find(address));
    CHECK(table.find({"127.0.0.1", 80, 40001}) == 5);
}

// Guards against the late close of an old connection that removes the new one of its address.
TEST_CASE("socket table, address taken over, outlives its earlier socket")
{
    SocketTable table;
    table.add(address, 5);
    table.add(address, 6);
    table.remove(5);
    CHECK(table.find(address) == 6);
    table.remove(6);
    CHECK_FALSE(table.find(address));
}
