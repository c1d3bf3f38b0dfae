#include "configuration/ConfigurationStateMachine.h"
#include "configuration/NoteApplier.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lovagecourse;

namespace {

const std::string digestA(64, 'a');
const std::string digestB(64, 'b');

const std::string fullNote = R"(follows = 0
title = "First servers"

[[added.accounts]]
name = "sleepers"
share = 2
keys = [")" + digestA + R"("]

[[added.services]]
name = "chat"
path = "/v1/chat"
kind = "model"

[[added.services]]
name = "pickup"
path = "/v1/pickup"
kind = "plain"
repeatable = false
queue_limit = 50
default_deadline_ms = 2000
default_cost = 20.5
long_above = 400

[[added.servers]]
name = "engine-1"
host = "h1"
address = "10.0.0.1:8000"
agent = "10.0.0.1:9000"
data_centre = "dc1"
services = ["chat"]
models = ["org/base:7b"]
checks_fencing = true
min_limit = 2
max_limit = 32

[[orders]]
server = "engine-1"
action = "load-model"
argument = "org/base:7b"
)";

struct ReleaseNoteFixture
{
    ConfigurationState state;

    ReleaseNoteFixture()
    {
        const auto applied = applyReleaseNote(parsed(fullNote), state, FencingNumber(5));
        state = std::get<ConfigurationState>(applied);
    }

    static ReleaseNote parsed(const std::string &toml)
    {
        auto result = parseReleaseNote(toml);
        REQUIRE(std::holds_alternative<ReleaseNote>(result));
        return std::get<ReleaseNote>(result);
    }

    std::vector<NoteFault> check(const std::string &toml) const
    {
        return checkReleaseNote(parsed("follows = 1\n" + toml), state);
    }

    static bool contains(const std::vector<NoteFault> &faults, NoteFaultKind kind,
                         const std::string &item)
    {
        return std::any_of(faults.begin(), faults.end(), [&](const NoteFault &fault) {
            return fault.kind == kind && fault.item == item;
        });
    }
};

struct BadNote
{
    std::string toml;
    NoteFaultKind kind;
    unsigned line;
    unsigned column;
    std::string item;
};

} // namespace

// Guards against fields that are lost or swapped between a note's text, the state and its JSON
// form.
TEST_CASE_METHOD(ReleaseNoteFixture, "release note, all fields given, arrive in the state")
{
    CHECK(state.accounts.at(AccountId("sleepers")).share == Share(2));
    CHECK(state.accounts.at(AccountId("sleepers")).apiKeyDigests.at(0) == digestA);
    const Service &pickup = state.services.at(ServiceId("pickup"));
    CHECK(pickup.kind == ServiceKind::Plain);
    CHECK_FALSE(pickup.repeatable);
    CHECK(pickup.queueLimit == 50);
    CHECK(pickup.defaultDeadline == milliseconds(2000));
    CHECK(pickup.defaultCost == Work(20.5));
    CHECK(pickup.longAbove == Work(400));
    const BackendServer &engine = state.servers.at(ServerId("engine-1"));
    CHECK(engine.host == HostId("h1"));
    CHECK(engine.agent == Endpoint{"10.0.0.1", 9000});
    CHECK(engine.models.at(0) == ModelId("org/base:7b"));
    CHECK(engine.checksFencing);
    CHECK(engine.maxLimit == 32);
    REQUIRE(state.orders.size() == 1);
    CHECK(state.orders[0].fencing == FencingNumber(5));

    const auto copy = stateFromJson(stateToJson(state));
    REQUIRE(std::holds_alternative<ConfigurationState>(copy));
    CHECK(stateToJson(std::get<ConfigurationState>(copy)) == stateToJson(state));
}

// Guards against faults that are accepted, or reported at a wrong line, column or item.
TEST_CASE_METHOD(ReleaseNoteFixture,
                 "release note, malformed text, reports kind, position and item")
{
    const std::string account = "follows = 0\n[[added.accounts]]\nname = \"a\"\n";
    const std::string keys = "keys = [\"" + digestA + "\"]\n";
    const std::vector<BadNote> notes{
            {"follows = ", NoteFaultKind::Syntax, 1, 11, "note"},
            {"title = \"t\"", NoteFaultKind::Missing, 1, 1, "follows"},
            {"follows = \"0\"", NoteFaultKind::WrongType, 1, 11, "follows"},
            {"follows = -1", NoteFaultKind::OutOfRange, 1, 11, "follows"},
            {"follows = 0\ntitle = \"a\\nb\"", NoteFaultKind::OutOfRange, 2, 9, "title"},
            {"follows = 0\nadd = 1", NoteFaultKind::UnknownKey, 2, 1, "add"},
            {"follows = 0\nadded = 1", NoteFaultKind::WrongType, 2, 9, "added"},
            {"follows = 0\n[added]\nhosts = 1", NoteFaultKind::UnknownKey, 3, 1, "added.hosts"},
            {account + keys, NoteFaultKind::Missing, 2, 1, "added.accounts.a.share"},
            {account + keys + "share = 0", NoteFaultKind::OutOfRange, 5, 9,
             "added.accounts.a.share"},
            {account + keys + "share = nan", NoteFaultKind::OutOfRange, 5, 9,
             "added.accounts.a.share"},
            {account + "share = 1\nkeys = [\"secret\"]", NoteFaultKind::OutOfRange, 5, 9,
             "added.accounts.a.keys"},
            {account + "share = 1\nkeys = [\"" + digestA + "\", \"" + digestA + "\"]",
             NoteFaultKind::Duplicate, 5, 77, "added.accounts.a.keys"},
            {account + keys + "share = 1\nshares = 2", NoteFaultKind::UnknownKey, 6, 1,
             "added.accounts.a.shares"},
            {"follows = 0\n[[changed.accounts]]\nname = \"a b\"\nshare = 1",
             NoteFaultKind::OutOfRange, 3, 8, "changed.accounts.name"},
            {"follows = 0\n[[changed.accounts]]\nname = \"a\"", NoteFaultKind::Missing, 2, 1,
             "changed.accounts.a"},
            {"follows = 0\n[[changed.servers]]\nname = \"s\"\nagent = \"host:1\"",
             NoteFaultKind::OutOfRange, 4, 9, "changed.servers.s.agent"},
            {"follows = 0\n[withdrawn]\nservers = [\"s\", 3]", NoteFaultKind::WrongType, 3, 17,
             "withdrawn.servers"},
            {"follows = 0\n[[orders]]\nserver = \"s\"\naction = \"reboot\"\nargument = \"x\"",
             NoteFaultKind::OutOfRange, 4, 10, "orders.action"},
            {account + keys + "share = 1\n[withdrawn]\naccounts = [\"a\"]",
             NoteFaultKind::Duplicate, 6, 1, "withdrawn.accounts.a"},
    };
    for (const BadNote &note : notes) {
        CAPTURE(note.toml);
        const auto result = parseReleaseNote(note.toml);
        REQUIRE(std::holds_alternative<std::vector<NoteFault>>(result));
        REQUIRE(std::get<std::vector<NoteFault>>(result).size() == 1);
        const NoteFault &fault = std::get<std::vector<NoteFault>>(result).at(0);
        CAPTURE(toString(fault));
        CHECK(fault.kind == note.kind);
        CHECK(fault.line == note.line);
        CHECK(fault.column == note.column);
        CHECK(fault.item == note.item);
    }
}

// Guards against a parser that stops at the first fault, so that operators must submit a note many
// times to find all of them.
TEST_CASE_METHOD(ReleaseNoteFixture, "release note, several faults, reports all of them")
{
    const auto result = parseReleaseNote("title = 3\nextra = 1\n[[added.services]]\nname = \"s\"\n"
                                         "path = \"p\"\nkind = \"other\"\nqueue_limit = 0\n");
    const auto &faults = std::get<std::vector<NoteFault>>(result);
    CHECK(faults.size() == 6);
    CHECK(contains(faults, NoteFaultKind::Missing, "follows"));
    CHECK(contains(faults, NoteFaultKind::WrongType, "title"));
    CHECK(contains(faults, NoteFaultKind::UnknownKey, "extra"));
    CHECK(contains(faults, NoteFaultKind::OutOfRange, "added.services.s.path"));
    CHECK(contains(faults, NoteFaultKind::OutOfRange, "added.services.s.kind"));
    CHECK(contains(faults, NoteFaultKind::OutOfRange, "added.services.s.queue_limit"));
}

// Guards against notes that are accepted although they conflict with the state, such as servers
// with unknown services, or an address or key that is used twice.
TEST_CASE_METHOD(ReleaseNoteFixture, "release note, conflict with the state, reports the fault")
{
    const std::string server = "[[added.servers]]\nname = \"engine-2\"\nhost = \"h2\"\n"
                               "address = \"10.0.0.2:8000\"\ndata_centre = \"dc1\"\n";
    const std::vector<BadNote> notes{
            {"[[added.accounts]]\nname = \"sleepers\"\nshare = 1\nkeys = []",
             NoteFaultKind::AlreadyExists, 2, 1, "added.accounts.sleepers"},
            {"[[added.accounts]]\nname = \"b\"\nshare = 1\nkeys = [\"" + digestA + "\"]",
             NoteFaultKind::Duplicate, 5, 8, "added.accounts.b.keys"},
            {"[[changed.accounts]]\nname = \"b\"\nshare = 1", NoteFaultKind::DoesNotExist, 2, 1,
             "changed.accounts.b"},
            {"[[added.services]]\nname = \"a\"\nkind = \"plain\"\npath = \"/v1/chat\"",
             NoteFaultKind::Duplicate, 5, 8, "added.services.a.path"},
            {"[withdrawn]\nservices = [\"chat\"]", NoteFaultKind::StillUsed, 3, 12,
             "withdrawn.services.chat"},
            {"[withdrawn]\nservers = [\"engine-9\"]", NoteFaultKind::DoesNotExist, 3, 11,
             "withdrawn.servers.engine-9"},
            {server + "agent = \"10.0.0.1:9000\"\nservices = [\"chat\"]", NoteFaultKind::Duplicate,
             7, 9, "added.servers.engine-2.agent"},
            {server + "agent = \"10.0.0.2:9000\"\nservices = [\"quotes\"]",
             NoteFaultKind::DoesNotExist, 8, 12, "added.servers.engine-2.services"},
            {"[[changed.servers]]\nname = \"engine-1\"\nmin_limit = 40", NoteFaultKind::OutOfRange,
             2, 1, "changed.servers.engine-1.max_limit"},
            {"[[orders]]\nserver = \"engine-2\"\naction = \"set-role\"\nargument = \"x\"",
             NoteFaultKind::DoesNotExist, 2, 1, "orders.engine-2.set-role"},
    };
    for (const BadNote &note : notes) {
        CAPTURE(note.toml);
        const auto faults = check(note.toml);
        REQUIRE(faults.size() == 1);
        CAPTURE(toString(faults[0]));
        CHECK(faults[0].kind == note.kind);
        CHECK(faults[0].item == note.item);
        CHECK(faults[0].line == note.line);
        CHECK(faults[0].column == note.column);
    }
    CHECK(check("[withdrawn]\nservices = [\"chat\"]\nservers = [\"engine-1\"]").empty());
    CHECK(check("[[added.accounts]]\nname = \"b\"\nshare = 1\nkeys = [\"" + digestA
                + "\"]\n[[changed.accounts]]\nname = \"sleepers\"\nkeys = [\"" + digestB + "\"]")
                  .empty());
}

// Guards against a key whose parts become nested tables, which exhaust the stack.
TEST_CASE("release note, keys of many parts, are out of range")
{
    std::string key = "a";
    for (int i = 1; i < 500'000; ++i)
        key += ".a";
    const std::string quoted = R"("a".'b'."c.d".)";
    const std::string pair = key + " = 1";
    for (const std::string &text :
         {pair, "[" + key + "]", "n = {" + pair + "}", quoted + pair,
          "n = [\"\"\"q\"\"\"\", {" + pair + "}]", "n = 'q\\' # it's\n" + pair}) {
        const auto result = parseReleaseNote(text);
        REQUIRE(std::holds_alternative<std::vector<NoteFault>>(result));
        CHECK(std::get<std::vector<NoteFault>>(result).front().kind == NoteFaultKind::OutOfRange);
    }
    // Dots in text and comments, and in many short keys, are no parts of one key.
    const std::string dots(100, '.');
    std::string text = "follows = 0 # ";
    text.append(dots).append("\ntitle = \"").append(dots).append("\"\n");
    const auto sound = parseReleaseNote(text);
    CHECK(std::holds_alternative<ReleaseNote>(sound));
}
