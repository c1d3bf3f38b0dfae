#include "integration/LoopbackStore.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace lovagecourse::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t lengthBytes = 4;

/// Value of a parameter in the request line; empty if it is missing.
std::string queryValue(const std::string &line, const std::string &name)
{
    std::size_t found = line.find('&' + name + '=');
    if (found == std::string::npos)
        found = line.find('?' + name + '=');
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 2;
    return line.substr(begin, line.find_first_of("& ", begin) - begin);
}

std::size_t readBigEndian(const std::string &bytes, std::size_t at)
{
    std::size_t value = 0;
    for (std::size_t i = at; i < at + lengthBytes; ++i)
        value = value << 8U | static_cast<unsigned char>(bytes[i]);
    return value;
}

} // namespace

LoopbackStore::LoopbackStore()
    : server_(std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { serve(connection); }))
{}

LoopbackStore::~LoopbackStore()
{
    isStopping_ = true;
    server_.reset();
}

void LoopbackStore::write(const std::string &topic, const std::string &key,
                          const std::string &value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].write(key, value);
}

std::size_t LoopbackStore::end(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    return topics_[topic].end();
}

bool LoopbackStore::contains(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(mutex_);
    return topics_[topic].newestPage("").find("\"key\":\"" + key + '"') != std::string::npos;
}

void LoopbackStore::makeCopy()
{
    const std::lock_guard lock(mutex_);
    copy_.clear();
    for (const auto &[name, topic] : topics_)
        copy_[name] = topic.end();
}

void LoopbackStore::goAway()
{
    isAway_ = true;
    ++absences_;
}

void LoopbackStore::restoreCopy()
{
    const std::lock_guard lock(mutex_);
    for (auto &[name, topic] : topics_)
        topic.dropFrom(copy_[name]);
    ++era_;
}

void LoopbackStore::comeBack()
{
    isAway_ = false;
}

bool LoopbackStore::isAwaySince(std::uint64_t absences) const
{
    return isAway_ || absences_ != absences;
}

void LoopbackStore::serve(LoopbackConnection &connection)
{
    RawMessage request;
    while (readMessage(connection, request, 60s)) {
        const std::uint64_t absences = absences_;
        const std::string line = request.head.substr(0, request.head.find("\r\n"));
        const bool waits = !queryValue(line, "wait_ms").empty();
        const auto waitEnd =
                std::chrono::steady_clock::now()
                + std::chrono::milliseconds(waits ? std::stoi(queryValue(line, "wait_ms")) : 0);
        const std::string topic = queryValue(line, "topic");
        while (waits && !isStopping_ && !isAwaySince(absences) && !isRefusing_
               && end(topic) == std::stoul(queryValue(line, "from"))
               && std::chrono::steady_clock::now() < waitEnd)
            std::this_thread::sleep_for(5ms);
        if (isAwaySince(absences)) {
            // Longer than any call waits for an answer.
            for (int i = 0; i < 100 && !isStopping_; ++i)
                std::this_thread::sleep_for(50ms);
            return;
        }
        const Reply answer = isRefusing_ ? Reply{503, "{}"} : reply(line, request.body);
        std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n";
        {
            const std::lock_guard lock(mutex_);
            if (!isEraHidden_)
                head += "Store-Era: " + std::to_string(era_) + "\r\n";
        }
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
        if (!connection.send(head + answer.body))
            return;
        request = {};
    }
}

LoopbackStore::Reply LoopbackStore::reply(const std::string &requestLine, const std::string &body)
{
    const std::string topic = queryValue(requestLine, "topic");
    const std::lock_guard lock(mutex_);
    if (requestLine.find("/v1/log-append") != std::string::npos) {
        append(topic, body);
        return {200, R"({"offset":0,"end_offset":1})"};
    }
    if (!topics_.contains(topic))
        return {404, "{}"};
    if (requestLine.find("/v1/log-newest") != std::string::npos)
        return {200, topics_[topic].newestPage(queryValue(requestLine, "after"))};
    return read(topic, requestLine);
}

LoopbackStore::Reply LoopbackStore::read(const std::string &topic, const std::string &requestLine)
{
    const std::size_t from = std::stoul(queryValue(requestLine, "from"));
    if (from > topics_[topic].end())
        return {410, R"({"first":0})"};
    return {200, topics_[topic].read(from)};
}

void LoopbackStore::append(const std::string &topic, const std::string &records)
{
    for (std::size_t at = 0; at + lengthBytes < records.size();) {
        const std::size_t length = readBigEndian(records, at);
        at += lengthBytes;
        const std::string record = records.substr(at, length);
        at += length;
        const std::size_t keySize = static_cast<unsigned char>(record[0]);
        topics_[topic].write(record.substr(1, keySize),
                             record.substr(std::min(record.size(), 1 + keySize)));
    }
}

} // namespace lovagecourse::test
