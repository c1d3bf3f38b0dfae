#include "Store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace review {

namespace {

std::string bigEndian(std::uint64_t value, int count)
{
    std::string bytes;
    for (int i = count - 1; i >= 0; --i)
        bytes += static_cast<char>(value >> (8 * i));
    return bytes;
}

std::string httpAnswer(const std::string &status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t begin = target.find('?');
    if (begin == std::string::npos)
        return query;
    for (const std::string &field : split(std::string_view(target).substr(begin + 1), '&')) {
        const std::vector<std::string> parts = split(field, '=');
        query[parts[0]] = parts.size() > 1 ? parts[1] : std::string();
    }
    return query;
}

} // namespace

Store::Store()
    : listener_(listenOn(0))
    , port_(portOf(listener_))
{
    std::thread([this] { accept(); }).detach();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    Topic &known = topics_[topic];
    known.records.emplace_back(key, value);
    if (value.empty())
        known.newest.erase(key);
    else
        known.newest[key] = known.records.size() - 1;
    changed_.notify_all();
}

void Store::accept()
{
    for (;;) {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Store::serve(int descriptor)
{
    Reader reader(descriptor);
    while (const auto request = reader.read(false, Clock::now() + std::chrono::minutes(5))) {
        if (!sendAll(descriptor, answer(*request)))
            break;
    }
    close(descriptor);
}

std::string Store::answer(const Message &request)
{
    const std::string target = request.secondWord();
    const std::string path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    if (path == "/v1/log-newest")
        return readNewest(query["topic"]);
    if (path == "/v1/log-read")
        return readFrom(query["topic"], std::strtoul(query["from"].c_str(), nullptr, 10),
                        milliseconds(std::strtoul(query["wait_ms"].c_str(), nullptr, 10)));
    if (path != "/v1/log-append")
        return httpAnswer("404 Not Found", "application/json", "{}");
    // The routers append one record a call: four bytes of length, one of the key's length.
    const std::string record = request.body.size() > 5 ? request.body.substr(4) : std::string(1, 0);
    const auto keyBytes = static_cast<unsigned char>(record[0]);
    put(query["topic"], record.substr(1, keyBytes), record.substr(1 + keyBytes));
    return httpAnswer("200 OK", "application/json", R"({"offset":0,"end_offset":1})");
}

std::string Store::readNewest(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    const Topic &known = topics_[topic];
    std::string items;
    for (const auto &[key, offset] : known.newest) {
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + encodeBase64(known.records[offset].second)
                 + R"(","offset":)" + std::to_string(offset) + "}";
    }
    return httpAnswer("200 OK", "application/json",
                      R"({"items":[)" + items + R"(],"has_more":false,"end_offset":)"
                              + std::to_string(known.records.size()) + "}");
}

std::string Store::readFrom(const std::string &topic, std::size_t from, milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const Topic &known = topics_[topic];
    changed_.wait_for(lock, wait, [&] { return known.records.size() > from; });
    std::string body = bigEndian(known.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < known.records.size(); ++i) {
        const auto &[key, value] = known.records[i];
        std::string record = bigEndian(key.size(), 1);
        record.append(key).append(value);
        body += bigEndian(record.size(), 4) + record;
    }
    return httpAnswer("200 OK", "application/octet-stream", body);
}

} // namespace review
