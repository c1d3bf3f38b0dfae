#include "configuration/ConfigurationStateMachine.h"

#include "documents/DocumentReader.h"

#include <stdexcept>

namespace lovagecourse {

namespace {

using nlohmann::json;

/// Invalid value that at() and get() accept. Caught by the parse functions below.
struct FieldFault : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

template <class Id>
json idsToJson(const std::vector<Id> &ids)
{
    json list = json::array();
    for (const Id &id : ids)
        list.push_back(id.value);
    return list;
}

json toJson(const ClientAccount &account)
{
    return {{"name", account.name.value},
            {"share", account.share.value},
            {"keys", account.apiKeyDigests}};
}

json toJson(const Service &service)
{
    return {{"name", service.name.value},
            {"path", service.path},
            {"kind", service.kind == ServiceKind::Model ? "model" : "plain"},
            {"repeatable", service.repeatable},
            {"queue_limit", service.queueLimit},
            {"default_deadline_ms", service.defaultDeadline.count()},
            {"default_cost", service.defaultCost.value},
            {"long_above", service.longAbove.value}};
}

json toJson(const BackendServer &server)
{
    return {{"name", server.name.value},
            {"host", server.host.value},
            {"address", toString(server.address)},
            {"agent", toString(server.agent)},
            {"data_centre", server.dataCentre.value},
            {"services", idsToJson(server.services)},
            {"models", idsToJson(server.models)},
            {"checks_fencing", server.checksFencing},
            {"leaving", server.leaving},
            {"min_limit", server.minLimit},
            {"max_limit", server.maxLimit}};
}

json toJson(const ServerOrder &order)
{
    return {{"server", order.server.value},
            {"fencing", order.fencing.value},
            {"action", order.action},
            {"argument", order.argument}};
}

template <class Map>
json valuesToJson(const Map &map)
{
    json list = json::array();
    for (const auto &[name, item] : map)
        list.push_back(toJson(item));
    return list;
}

std::string textOf(const json &object, const char *key)
{
    return object.at(key).get<std::string>();
}

std::uint64_t uint64Of(const json &object, const char *key)
{
    const json &value = object.at(key);
    if (!value.is_number_unsigned())
        throw FieldFault(key);
    return value.get<std::uint64_t>();
}

std::uint32_t uint32Of(const json &object, const char *key)
{
    const std::uint64_t value = uint64Of(object, key);
    if (value > UINT32_MAX)
        throw FieldFault(key);
    return static_cast<std::uint32_t>(value);
}

/// Shares and work are divisors and must be greater than 0.
double positiveOf(const json &object, const char *key)
{
    const double value = object.at(key).get<double>();
    if (!(value > 0))
        throw FieldFault(key);
    return value;
}

Endpoint endpointOf(const json &object, const char *key)
{
    const auto endpoint = parseEndpoint(textOf(object, key));
    if (!endpoint)
        throw FieldFault(key);
    return *endpoint;
}

const json::array_t &listOf(const json &object, const char *key)
{
    return object.at(key).get_ref<const json::array_t &>();
}

template <class Id>
std::vector<Id> idsOf(const json &object, const char *key)
{
    std::vector<Id> ids;
    for (const json &id : listOf(object, key))
        ids.emplace_back(id.get<std::string>());
    return ids;
}

ClientAccount accountOf(const json &object)
{
    ClientAccount account;
    account.name = AccountId(textOf(object, "name"));
    account.share = Share(positiveOf(object, "share"));
    account.apiKeyDigests = object.at("keys").get<std::vector<std::string>>();
    return account;
}

Service serviceOf(const json &object)
{
    Service service;
    service.name = ServiceId(textOf(object, "name"));
    service.path = textOf(object, "path");
    service.kind = textOf(object, "kind") == "model" ? ServiceKind::Model : ServiceKind::Plain;
    service.repeatable = object.at("repeatable").get<bool>();
    service.queueLimit = uint32Of(object, "queue_limit");
    service.defaultDeadline = milliseconds(uint32Of(object, "default_deadline_ms"));
    service.defaultCost = Work(positiveOf(object, "default_cost"));
    service.longAbove = Work(positiveOf(object, "long_above"));
    return service;
}

BackendServer serverOf(const json &object)
{
    BackendServer server;
    server.name = ServerId(textOf(object, "name"));
    server.host = HostId(textOf(object, "host"));
    server.address = endpointOf(object, "address");
    server.agent = endpointOf(object, "agent");
    server.dataCentre = DataCentreId(textOf(object, "data_centre"));
    server.services = idsOf<ServiceId>(object, "services");
    server.models = idsOf<ModelId>(object, "models");
    server.checksFencing = object.at("checks_fencing").get<bool>();
    server.leaving = object.at("leaving").get<bool>();
    server.minLimit = uint32Of(object, "min_limit");
    server.maxLimit = uint32Of(object, "max_limit");
    return server;
}

ServerOrder orderOf(const json &object)
{
    return {ServerId(textOf(object, "server")), FencingNumber(uint64Of(object, "fencing")),
            textOf(object, "action"), textOf(object, "argument")};
}

/// What is read of a state's JSON form.
const DocumentSelection &stateSelection()
{
    static const DocumentSelection selection = selectFields(
            {{"offset", selectScalar()},
             {"note", selectScalar()},
             {"accounts", selectElements(selectFields({{"name", selectScalar()},
                                                       {"share", selectScalar()},
                                                       {"keys", selectElements(selectText())}}))},
             {"services", selectElements(selectFields({{"name", selectScalar()},
                                                       {"path", selectScalar()},
                                                       {"kind", selectScalar()},
                                                       {"repeatable", selectScalar()},
                                                       {"queue_limit", selectScalar()},
                                                       {"default_deadline_ms", selectScalar()},
                                                       {"default_cost", selectScalar()},
                                                       {"long_above", selectScalar()}}))},
             {"servers", selectElements(selectFields({{"name", selectScalar()},
                                                      {"host", selectScalar()},
                                                      {"address", selectScalar()},
                                                      {"agent", selectScalar()},
                                                      {"data_centre", selectScalar()},
                                                      {"services", selectElements(selectText())},
                                                      {"models", selectElements(selectText())},
                                                      {"checks_fencing", selectScalar()},
                                                      {"leaving", selectScalar()},
                                                      {"min_limit", selectScalar()},
                                                      {"max_limit", selectScalar()}}))},
             {"orders", selectElements(selectFields({{"server", selectScalar()},
                                                     {"fencing", selectScalar()},
                                                     {"action", selectScalar()},
                                                     {"argument", selectScalar()}}))}});
    return selection;
}

ConfigurationState stateOf(const json &object)
{
    ConfigurationState state;
    state.offset = LogOffset(uint64Of(object, "offset"));
    state.note = NoteNumber(uint64Of(object, "note"));
    for (const json &entry : listOf(object, "accounts")) {
        ClientAccount account = accountOf(entry);
        state.accounts.emplace(account.name, std::move(account));
    }
    for (const json &entry : listOf(object, "services")) {
        Service service = serviceOf(entry);
        state.services.emplace(service.name, std::move(service));
    }
    for (const json &entry : listOf(object, "servers")) {
        BackendServer server = serverOf(entry);
        state.servers.emplace(server.name, std::move(server));
    }
    for (const json &entry : listOf(object, "orders"))
        state.orders.push_back(orderOf(entry));
    return state;
}

json stateJson(const ConfigurationState &state)
{
    json orders = json::array();
    for (const ServerOrder &order : state.orders)
        orders.push_back(toJson(order));
    return {{"offset", state.offset.value},
            {"note", state.note.value},
            {"accounts", valuesToJson(state.accounts)},
            {"services", valuesToJson(state.services)},
            {"servers", valuesToJson(state.servers)},
            {"orders", orders}};
}

/// Replaces invalid UTF-8, so that dump() does not throw. Text from a TOML note is always valid.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string noteRecordBody(const std::string &toml)
{
    return dump({{"type", "note"}, {"toml", toml}});
}

std::string snapshotRecordBody(const ConfigurationState &state)
{
    return dump({{"type", "snapshot"}, {"state", stateJson(state)}});
}

std::string stateToJson(const ConfigurationState &state)
{
    return dump(stateJson(state));
}

std::variant<ConfigurationState, RecordMalformed> stateFromJson(const std::string &text)
{
    // at() and get() throw on missing fields and wrong types.
    try {
        const auto read = readDocument(text, stateSelection());
        if (const auto *object = std::get_if<json>(&read))
            return stateOf(*object);
        return RecordMalformed{};
    } catch (const json::exception &) {
        return RecordMalformed{};
    } catch (const FieldFault &) {
        return RecordMalformed{};
    }
}

std::variant<NoteRecord, ConfigurationState, RecordMalformed>
parseConfigurationRecord(const std::string &body)
{
    static const DocumentSelection selection = selectFields(
            {{"type", selectScalar()}, {"toml", selectScalar()}, {"state", stateSelection()}});
    const auto read = readDocument(body, selection);
    if (!std::holds_alternative<json>(read))
        return RecordMalformed{};
    const json &record = std::get<json>(read);
    try {
        const std::string type = textOf(record, "type");
        if (type == "note")
            return NoteRecord{textOf(record, "toml")};
        if (type == "snapshot")
            return stateOf(record.at("state"));
        return RecordMalformed{};
    } catch (const json::exception &) {
        return RecordMalformed{};
    } catch (const FieldFault &) {
        return RecordMalformed{};
    }
}

} // namespace lovagecourse
