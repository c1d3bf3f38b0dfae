#pragma once

#include "Wire.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace review {

/// Stand-in of the platform's metadata store: keyed topics with one partition, kept in memory.
class Store
{
public:
    Store();
    int port() const { return port_; }
    /// Writes a record; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Topic
    {
        std::vector<std::pair<std::string, std::string>> records;
        /// Offset of the newest record of each key that has one.
        std::map<std::string, std::size_t> newest;
    };

    void accept();
    void serve(int descriptor);
    std::string answer(const Message &request);
    std::string readNewest(const std::string &topic);
    std::string readFrom(const std::string &topic, std::size_t from, milliseconds wait);

    int listener_;
    int port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
};

} // namespace review
