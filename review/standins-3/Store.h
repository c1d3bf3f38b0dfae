#pragma once

#include "Http.h"

#include <condition_variable>
#include <map>

namespace review {

/// Stand-in for the platform's store: a log with keyed topics (log-append, log-read, log-newest).
class Store
{
public:
    enum class Mode {
        Up,
        /// Calls are read and never answered, also after the store is back.
        Silent,
        Busy
    };

    Store()
        : listener_([this](Connection &connection) { serve(connection); })
    {
        listener_.start();
    }
    ~Store()
    {
        {
            const std::lock_guard lock(mutex_);
            isStopping_ = true;
            changed_.notify_all();
        }
        listener_.stop();
    }

    std::uint16_t port() const { return listener_.port(); }

    /// Writes a record of a keyed topic; without a value it deletes the key. Returns its offset.
    std::uint64_t put(const std::string &topic, const std::string &key,
                      const std::optional<std::string> &value)
    {
        std::string record(1, static_cast<char>(key.size()));
        record += key + value.value_or("");
        const std::lock_guard lock(mutex_);
        std::vector<Record> &records = topics_[topic];
        records.push_back({record, Clock::now()});
        changed_.notify_all();
        return records.size() - 1;
    }

    void setMode(Mode mode)
    {
        const std::lock_guard lock(mutex_);
        mode_ = mode;
        changed_.notify_all();
    }

    /// Goes back to a copy of the given age. All records from since then are lost.
    void restore(milliseconds age)
    {
        const std::lock_guard lock(mutex_);
        const Clock::time_point copied = Clock::now() - age;
        for (auto &[topic, records] : topics_)
            std::erase_if(records, [&](const Record &record) { return record.at > copied; });
        ++era_;
        changed_.notify_all();
    }

    std::uint64_t endOf(const std::string &topic)
    {
        const std::lock_guard lock(mutex_);
        return topics_[topic].size();
    }

    /// Called for each read, with the offset from which it reads; for the record of a case.
    std::function<void(const std::string &topic, const std::string &line)> onCall;

private:
    struct Record
    {
        std::string bytes;
        Clock::time_point at;
    };

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8 * i));
        return text;
    }

    static std::string base64(std::string_view bytes)
    {
        static const char *letters =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8
                        | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? letters[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    static std::string quoted(const std::string &text)
    {
        std::string result = "\"";
        for (const char letter : text) {
            if (letter == '"' || letter == '\\')
                result += '\\';
            result += letter;
        }
        return result + '"';
    }

    void serve(Connection &connection)
    {
        for (;;) {
            const auto request =
                    connection.readMessage(false, Clock::now() + std::chrono::seconds(60));
            if (!request || !request->isWhole)
                return;
            if (!answer(connection, *request))
                return;
        }
    }

    bool sendAnswer(Connection &connection, int status, const std::string &type,
                    const std::string &body)
    {
        return connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: "
                               + std::to_string(era_) + "\r\nContent-Type: " + type
                               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                               + body);
    }

    bool answer(Connection &connection, const Message &request)
    {
        std::unique_lock lock(mutex_);
        if (onCall)
            onCall(request.parameter("topic"), request.startLine);
        if (mode_ == Mode::Busy) {
            lock.unlock();
            return sendAnswer(connection, 503, "application/json", "{}");
        }
        const std::uint64_t era = era_;
        if (mode_ == Mode::Silent)
            return waitForEnd(lock, connection);
        const std::string path = request.target().substr(0, request.target().find('?'));
        const std::string topic = request.parameter("topic");
        if (path == "/v1/log-append")
            return append(lock, connection, topic, request.body);
        if (topics_.find(topic) == topics_.end()) {
            lock.unlock();
            return sendAnswer(connection, 404, "application/json", "{}");
        }
        if (path == "/v1/log-newest")
            return newest(lock, connection, topic);
        const std::uint64_t from = std::stoull(request.parameter("from"));
        const std::string wait = request.parameter("wait_ms");
        const auto deadline = Clock::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
        changed_.wait_until(lock, deadline, [&] {
            return isStopping_ || mode_ != Mode::Up || era_ != era || topics_[topic].size() != from;
        });
        // A call that the disruption has met gets no answer.
        if (mode_ != Mode::Up || era_ != era)
            return waitForEnd(lock, connection);
        const std::vector<Record> &records = topics_[topic];
        if (from > records.size()) {
            lock.unlock();
            return sendAnswer(connection, 410, "application/json", "{\"first\":0}");
        }
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size(); ++i)
            body += bigEndian(records[i].bytes.size(), 4) + records[i].bytes;
        lock.unlock();
        return sendAnswer(connection, 200, "application/octet-stream", body);
    }

    /// Keeps the connection open without an answer, until the caller closes it.
    bool waitForEnd(std::unique_lock<std::mutex> &lock, Connection &connection)
    {
        lock.unlock();
        while (!connection.hasEnded() && !isStopping_)
            connection.receive(Clock::now() + milliseconds(200));
        return false;
    }

    bool append(std::unique_lock<std::mutex> &lock, Connection &connection,
                const std::string &topic, const std::string &body)
    {
        std::vector<Record> &records = topics_[topic];
        const std::uint64_t offset = records.size();
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(body[at + i]);
            records.push_back({body.substr(at + 4, length), Clock::now()});
            at += 4 + length;
        }
        const std::uint64_t end = records.size();
        changed_.notify_all();
        lock.unlock();
        return sendAnswer(connection, 200, "application/json",
                          "{\"offset\":" + std::to_string(offset)
                                  + ",\"end_offset\":" + std::to_string(end) + "}");
    }

    bool newest(std::unique_lock<std::mutex> &lock, Connection &connection,
                const std::string &topic)
    {
        std::map<std::string, std::pair<std::string, std::size_t>> items;
        const std::vector<Record> &records = topics_[topic];
        for (std::size_t i = 0; i < records.size(); ++i) {
            const std::string &bytes = records[i].bytes;
            const std::size_t keySize = static_cast<unsigned char>(bytes[0]);
            const std::string key = bytes.substr(1, keySize);
            if (bytes.size() == keySize + 1)
                items.erase(key);
            else
                items[key] = {bytes.substr(1 + keySize), i};
        }
        std::string body = "{\"items\":[";
        for (const auto &[key, item] : items) {
            if (body.back() != '[')
                body += ',';
            body += "{\"key\":" + quoted(key) + ",\"value\":\"" + base64(item.first)
                    + "\",\"offset\":" + std::to_string(item.second) + '}';
        }
        body += "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + '}';
        lock.unlock();
        return sendAnswer(connection, 200, "application/json", body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Record>> topics_;
    Mode mode_ = Mode::Up;
    std::atomic<std::uint64_t> era_{1};
    std::atomic<bool> isStopping_{false};
    Listener listener_;
};

} // namespace review
