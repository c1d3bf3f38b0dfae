#include "claims/ClaimEntry.h"

#include "documents/DocumentReader.h"

#include <algorithm>

namespace lovagecourse {

namespace {

using Json = nlohmann::json;

// Much longer times would overflow the clock; real deadlines are far shorter than a year.
constexpr std::uint64_t maxValidMs = 365ULL * 24 * 3600 * 1000;

// JSON strings must be UTF-8, while answers may contain any bytes. Bytes are therefore encoded as
// if they were Latin-1 text, which keeps ASCII readable.
std::string latin1ToUtf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (code < 0x80U) {
            text.push_back(byte);
            continue;
        }
        text.push_back(static_cast<char>(0xC0U | (code >> 6U)));
        text.push_back(static_cast<char>(0x80U | (code & 0x3FU)));
    }
    return text;
}

/// Empty if the text has characters outside Latin-1.
std::optional<std::string> utf8ToLatin1(const std::string &text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto code = static_cast<unsigned char>(text[i]);
        if (code < 0x80U) {
            bytes.push_back(text[i]);
            continue;
        }
        if ((code & 0xFCU) != 0xC0U || i + 1 == text.size())
            return std::nullopt;
        ++i;
        const auto low = static_cast<unsigned char>(text[i]) & 0x3FU;
        bytes.push_back(static_cast<char>(((code & 0x03U) << 6U) | low));
    }
    return bytes;
}

/// Reads the fields of one JSON entry; a missing or invalid field makes the whole entry malformed.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object_(object)
    {}

    std::string text(const char *name)
    {
        const auto field = object_.find(name);
        if (field == object_.end())
            return fail();
        return textOf(*field);
    }
    std::uint64_t number(const char *name)
    {
        const auto field = object_.find(name);
        if (field == object_.end() || !field->is_number_unsigned()) {
            good_ = false;
            return 0;
        }
        return field->get<std::uint64_t>();
    }
    bool flag(const char *name)
    {
        const auto field = object_.find(name);
        if (field == object_.end() || !field->is_boolean()) {
            good_ = false;
            return false;
        }
        return field->get<bool>();
    }
    AccountKey key()
    {
        const std::string account = text("account");
        return {AccountId(account), IdempotencyKey(text("key"))};
    }
    HeaderList headers(const char *name)
    {
        HeaderList list;
        const auto field = object_.find(name);
        if (field == object_.end() || !field->is_array()) {
            good_ = false;
            return list;
        }
        for (const Json &pair : *field)
            addHeader(list, pair);
        return list;
    }
    bool has(const char *name) const { return object_.contains(name); }
    bool good() const { return good_; }

private:
    std::string fail()
    {
        good_ = false;
        return {};
    }
    std::string textOf(const Json &value)
    {
        if (!value.is_string())
            return fail();
        const auto bytes = utf8ToLatin1(value.get_ref<const std::string &>());
        return bytes ? *bytes : fail();
    }
    void addHeader(HeaderList &list, const Json &pair)
    {
        if (!pair.is_array() || pair.size() != 2) {
            good_ = false;
            return;
        }
        std::string name = textOf(pair[0]);
        list.emplace_back(std::move(name), textOf(pair[1]));
    }

    const Json &object_;
    bool good_ = true;
};

Json entryForKey(const char *type, const AccountKey &key)
{
    return {{"type", type},
            {"account", latin1ToUtf8(key.account.value)},
            {"key", latin1ToUtf8(key.key.value)}};
}

Json toJson(const AgentStart &start)
{
    return {{"type", "start"},
            {"server", latin1ToUtf8(start.server.value)},
            {"agent", latin1ToUtf8(start.agent.value)},
            {"incarnation", start.incarnation.value}};
}

Json toJson(const ClaimRequested &claim)
{
    Json object = entryForKey("claim", claim.key);
    object["claim"] = latin1ToUtf8(claim.claim.value);
    object["digest"] = latin1ToUtf8(claim.requestDigest);
    object["server"] = latin1ToUtf8(claim.server.value);
    object["incarnation"] = claim.incarnation.value;
    object["fencing"] = claim.fencing.value;
    object["validMs"] = static_cast<std::uint64_t>(claim.validFor.count());
    return object;
}

Json toJson(const ClaimVoid &entry)
{
    Json object = entryForKey("void", entry.key);
    object["claim"] = latin1ToUtf8(entry.claim.value);
    return object;
}

Json toJson(const ClaimOutcome &outcome)
{
    Json object = entryForKey("outcome", outcome.key);
    object["claim"] = latin1ToUtf8(outcome.claim.value);
    if (!outcome.answer)
        return object;
    object["status"] = outcome.answer->status;
    object["body"] = latin1ToUtf8(outcome.answer->body);
    Json &headers = object["headers"] = Json::array();
    for (const auto &[name, value] : outcome.answer->headers)
        headers.push_back(Json::array({latin1ToUtf8(name), latin1ToUtf8(value)}));
    return object;
}

Json toJson(const ClaimSettlement &settlement)
{
    Json object = entryForKey("settlement", settlement.key);
    object["ran"] = settlement.ran;
    if (!settlement.claim.value.empty())
        object["claim"] = latin1ToUtf8(settlement.claim.value);
    return object;
}

Json toJson(const OrderAnnouncement &announcement)
{
    return {{"type", "order"},
            {"server", latin1ToUtf8(announcement.server.value)},
            {"incarnation", announcement.incarnation.value},
            {"order", announcement.order.value}};
}

OrderAnnouncement readOrderAnnouncement(FieldReader &fields)
{
    OrderAnnouncement announcement;
    announcement.server = ServerId(fields.text("server"));
    announcement.incarnation = Incarnation(fields.number("incarnation"));
    announcement.order = FencingNumber(fields.number("order"));
    return announcement;
}

AgentStart readStart(FieldReader &fields)
{
    AgentStart start;
    start.server = ServerId(fields.text("server"));
    start.agent = DaemonId(fields.text("agent"));
    start.incarnation = Incarnation(fields.number("incarnation"));
    return start;
}

ClaimRequested readClaim(FieldReader &fields)
{
    ClaimRequested claim;
    claim.key = fields.key();
    claim.claim = ClaimId(fields.text("claim"));
    claim.requestDigest = fields.text("digest");
    claim.server = ServerId(fields.text("server"));
    claim.incarnation = Incarnation(fields.number("incarnation"));
    claim.fencing = FencingNumber(fields.number("fencing"));
    claim.validFor = milliseconds(std::min(fields.number("validMs"), maxValidMs));
    return claim;
}

ClaimOutcome readOutcome(FieldReader &fields)
{
    ClaimOutcome outcome;
    outcome.key = fields.key();
    outcome.claim = ClaimId(fields.text("claim"));
    if (!fields.has("status"))
        return outcome;
    RecordedAnswer answer;
    answer.status = static_cast<std::uint16_t>(fields.number("status"));
    answer.headers = fields.headers("headers");
    answer.body = fields.text("body");
    outcome.answer = std::move(answer);
    return outcome;
}

/// What is read of a list of entries, of all types.
const DocumentSelection &entriesSelection()
{
    // A header has two elements; a third one shows that there are more.
    static const DocumentSelection selection = selectElements(
            selectFields({{"type", selectScalar()},
                          {"account", selectScalar()},
                          {"key", selectScalar()},
                          {"claim", selectScalar()},
                          {"digest", selectScalar()},
                          {"server", selectScalar()},
                          {"agent", selectScalar()},
                          {"incarnation", selectScalar()},
                          {"fencing", selectScalar()},
                          {"validMs", selectScalar()},
                          {"status", selectScalar()},
                          {"body", selectScalar()},
                          {"headers", selectElements(selectElements(selectText(), 3))},
                          {"ran", selectScalar()},
                          {"order", selectScalar()}}));
    return selection;
}

std::optional<ClaimEntry> readEntry(FieldReader &fields)
{
    const std::string type = fields.text("type");
    if (type == "start")
        return readStart(fields);
    if (type == "claim")
        return readClaim(fields);
    if (type == "void") {
        const AccountKey key = fields.key();
        return ClaimVoid{key, ClaimId(fields.text("claim"))};
    }
    if (type == "outcome")
        return readOutcome(fields);
    if (type == "settlement") {
        ClaimSettlement settlement{fields.key(), fields.flag("ran"), {}};
        if (fields.has("claim"))
            settlement.claim = ClaimId(fields.text("claim"));
        return settlement;
    }
    if (type == "order")
        return readOrderAnnouncement(fields);
    return std::nullopt;
}

} // namespace

std::string encodeClaimEntries(const std::vector<ClaimEntry> &entries)
{
    Json list = Json::array();
    for (const ClaimEntry &entry : entries)
        list.push_back(std::visit([](const auto &value) { return toJson(value); }, entry));
    return list.dump();
}

DecodedClaimEntries decodeClaimEntries(std::string_view body)
{
    DecodedClaimEntries decoded;
    const auto read = readDocument(body, entriesSelection());
    const auto *list = std::get_if<Json>(&read);
    if (!list || !list->is_array()) {
        decoded.malformed = 1;
        return decoded;
    }
    for (const Json &object : *list) {
        FieldReader fields(object);
        std::optional<ClaimEntry> entry;
        if (object.is_object())
            entry = readEntry(fields);
        if (entry && fields.good())
            decoded.entries.push_back(std::move(*entry));
        else
            ++decoded.malformed;
    }
    return decoded;
}

} // namespace lovagecourse
