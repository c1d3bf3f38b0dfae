#include "platform/LogAnswers.h"

#include "documents/DocumentReader.h"

namespace lovagecourse {

namespace {

using nlohmann::json;

/// Returns null, which has no fields, for a text that can't be read.
json readParsed(const std::string &body, const DocumentSelection &selection)
{
    auto read = readDocument(body, selection);
    if (auto *parsed = std::get_if<json>(&read))
        return std::move(*parsed);
    return nullptr;
}

LogRecord parseRecord(const json &record)
{
    const milliseconds time(record.at("time_ms").get<std::int64_t>());
    return {LogOffset(record.at("offset").get<std::uint64_t>()), record.at("id").get<std::string>(),
            WallTime(time), record.at("body").get<std::string>()};
}

/// Returns false if offsets don't increase or lie outside [oldest, next).
bool hasValidOffsets(const LogBatch &batch)
{
    LogOffset minOffset = batch.oldest;
    for (const LogRecord &record : batch.records) {
        if (record.offset < minOffset || record.offset >= batch.next)
            return false;
        minOffset = LogOffset(record.offset.value + 1);
    }
    return true;
}

} // namespace

AppendResult parseAppend(const std::string &body)
{
    static const DocumentSelection selection = selectFields({{"offset", selectScalar()}});
    const auto read = readDocument(body, selection);
    const auto *parsed = std::get_if<json>(&read);
    if (!parsed || !parsed->is_object() || !parsed->contains("offset")
        || !parsed->at("offset").is_number_unsigned())
        return PlatformFailure(PlatformAnswerMalformed{});
    return LogOffset(parsed->at("offset").get<std::uint64_t>());
}

ReadResult parseBatch(const std::string &body)
{
    static const DocumentSelection selection =
            selectFields({{"oldest", selectScalar()},
                          {"next", selectScalar()},
                          {"records", selectElements(selectFields({{"time_ms", selectScalar()},
                                                                   {"offset", selectScalar()},
                                                                   {"id", selectScalar()},
                                                                   {"body", selectScalar()}}))}});
    // at(), get() and get_ref() throw if a field is missing or has the wrong type.
    try {
        const json parsed = readParsed(body, selection);
        LogBatch batch;
        batch.oldest = LogOffset(parsed.at("oldest").get<std::uint64_t>());
        batch.next = LogOffset(parsed.at("next").get<std::uint64_t>());
        for (const json &record : parsed.at("records").get_ref<const json::array_t &>())
            batch.records.push_back(parseRecord(record));
        if (!hasValidOffsets(batch))
            return PlatformFailure(PlatformAnswerMalformed{});
        return batch;
    } catch (const json::exception &) {
        return PlatformFailure(PlatformAnswerMalformed{});
    }
}

HostListResult parseHosts(const std::string &body)
{
    static const DocumentSelection selection =
            selectFields({{"hosts", selectElements(selectFields({{"host", selectScalar()},
                                                                 {"state", selectScalar()}}))}});
    try {
        const json parsed = readParsed(body, selection);
        std::vector<HostEntry> hosts;
        for (const json &host : parsed.at("hosts").get_ref<const json::array_t &>())
            hosts.push_back({HostId(host.at("host").get<std::string>()),
                             host.at("state").get<std::string>() == "leaving"});
        return hosts;
    } catch (const json::exception &) {
        return PlatformFailure(PlatformAnswerMalformed{});
    }
}

} // namespace lovagecourse
