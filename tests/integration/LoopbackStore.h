#pragma once

#include "integration/LoopbackConnection.h"
#include "integration/StoredTopic.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lovagecourse::test {

/// The platform's store on a loopback address, with topics in memory. It can be away for a time,
/// and come back from an older copy; its era, which rises then, is in all answers.
class LoopbackStore
{
public:
    /// Names of the topics.
    static constexpr const char *operatorTopic = "keyed.op";
    static constexpr const char *serversTopic = "keyed.servers";
    static constexpr const char *routersTopic = "keyed.status";

    LoopbackStore();
    ~LoopbackStore();

    std::string endpoint() const { return server_->endpoint(); }
    /// Appends a record; one without a value deletes its key.
    void write(const std::string &topic, const std::string &key, const std::string &value);
    /// Number of records ever written to a topic and not lost.
    std::size_t end(const std::string &topic);
    /// Whether a topic holds the key.
    bool contains(const std::string &topic, const std::string &key);
    /// Remembers what the topics hold.
    void makeCopy();
    /// Goes away: no call that is in progress or begins from now on is answered, also later.
    void goAway();
    /// Is in the state of the copy, and in the next era. Does not answer yet.
    void restoreCopy();
    void comeBack();
    /// Refuses all calls with 503, or serves them again.
    void refuseCalls(bool refuses) { isRefusing_ = refuses; }
    /// Names no era in answers, as a store whose protocol has none.
    void hideEra() { isEraHidden_ = true; }

private:
    struct Reply
    {
        int status = 200;
        std::string body;
    };

    void serve(LoopbackConnection &connection);
    bool isAwaySince(std::uint64_t absences) const;
    Reply reply(const std::string &requestLine, const std::string &body);
    Reply read(const std::string &topic, const std::string &requestLine);
    void append(const std::string &topic, const std::string &records);

    std::mutex mutex_;
    std::map<std::string, StoredTopic> topics_;
    /// Ends of the topics at the copy.
    std::map<std::string, std::size_t> copy_;
    std::uint64_t era_ = 1;
    std::atomic<std::uint64_t> absences_ = 0;
    std::atomic<bool> isAway_ = false;
    std::atomic<bool> isRefusing_ = false;
    std::atomic<bool> isEraHidden_ = false;
    std::atomic<bool> isStopping_ = false;
    std::unique_ptr<LoopbackServer> server_;
};

} // namespace lovagecourse::test
