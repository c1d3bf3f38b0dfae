#pragma once

#include "Net.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

/// Writes the record of a case, a line per event with the time in ms.
class Record
{
public:
    explicit Record(const std::string &file);
    template <class... Parts>
    void write(const Parts &...parts)
    {
        std::ostringstream line;
        (line << ... << parts);
        writeLine(line.str());
    }

private:
    void writeLine(const std::string &line);

    std::mutex mutex_;
    std::ofstream stream_;
};

/// The platform's store: a log with the calls that routers make. Keyed topics with one partition.
class Store
{
public:
    Store();
    std::uint16_t port() const { return port_; }
    /// A record without a value drops the key.
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);
    /// Time that each answer takes.
    void setAnswerTime(double milliseconds) { answerMs_ = milliseconds; }

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };

    void serve(int descriptor);
    std::string readNewest(const std::string &topic, const std::string &after);
    std::string readFrom(const std::string &topic, std::size_t from, double waitMs);
    void append(const std::string &topic, const std::string &body);

    std::uint16_t port_ = 0;
    std::atomic<double> answerMs_ = 4;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Entry>> topics_;
};

/// A server of a service. Counts as run every request that its handler is called for.
class Server
{
public:
    /// Answers a request; returns false to close the connection.
    using Handler = std::function<bool(Connection &, const Message &)>;

    Server(std::string id, std::string service, Handler handler);
    const std::string &id() const { return id_; }
    /// Its entry in the store.
    std::string entry() const;

private:
    void serve(int descriptor);

    std::string id_;
    std::string service_;
    Handler handler_;
    std::uint16_t port_ = 0;
};

/// A model server in a process of its own, which can crash. Its streams have neither a length nor
/// chunks and end with their connection. Routers reach it by a link that can be cut: meanwhile
/// bytes and the ends of connections wait, and new connections get no answer.
class RemoteServer
{
public:
    RemoteServer(std::string id, std::string service);
    std::string entry() const;
    /// Starts the process; it listens at the same port each time.
    void start();
    /// Kills the process, so that its kernel closes its connections.
    void crash();
    void setCut(bool isCut) { isCut_ = isCut; }
    /// Runs such a process; returns when it can't listen.
    static void serveForever(const std::string &id, std::uint16_t port);

    static constexpr int events = 24;
    static constexpr double firstEventMs = 100;
    static constexpr double pauseMs = 100;

private:
    void relay(int descriptor);
    void copy(Connection &from, Connection &to);

    std::string id_;
    std::string service_;
    std::uint16_t serverPort_ = 0;
    std::uint16_t linkPort_ = 0;
    int process_ = -1;
    /// Time of the last start in s.
    long born_ = 1700000000;
    std::atomic<bool> isCut_ = false;
};

/// Head and body of an answer with the request's id, a signature and a length.
std::string answerTo(const Message &request, int status, const std::string &body,
                     const std::string &headers = {});
/// Head of a streamed answer in chunks.
std::string streamHead(const Message &request);
std::string chunk(const std::string &bytes);
/// An event of a stream.
std::string eventText(int number);

/// A route of the configuration.
struct RouteText
{
    std::string path;
    std::string kind;
    std::string service;
    int timeoutMs = 0;
    int objectiveMs = 0;
    bool isPublic = false;
};

std::string configurationText(const std::vector<RouteText> &routes);
extern const std::string apiKey;

/// A router process, started as the deploy file does, with the template of the deploy file.
class Router
{
public:
    /// Starts the process and waits until it is ready.
    explicit Router(const Store &store);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    bool isReady() const { return isReady_; }
    std::uint16_t front() const { return front_; }
    /// Writes the settings again, with other values of some fields.
    bool writeSettings(const std::map<std::string, std::string> &changed) const;
    void signal(int number) const;
    /// Memory in use, without bytes in socket buffers.
    double memoryMb() const;
    bool isRunning();
    /// How the process has ended.
    std::string end() const { return end_; }
    void kill();
    void removeFolder() const;

private:
    std::string folder_;
    std::map<std::string, std::string> fields_;
    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;
    int process_ = -1;
    bool isReady_ = false;
    std::string end_;
};

/// How a request has ended for its client.
enum class Ending : std::uint8_t { Answered, Closed, TimedOut, NotConnected };

struct Outcome
{
    Ending ending = Ending::NotConnected;
    int status = 0;
    Message answer;
};

std::string requestText(const std::string &path, const std::string &id, int deadlineMs,
                        const std::string &body, const std::string &headers = {});
/// Reads the answer to a request that was sent.
Outcome readAnswer(Connection &connection, int deadlineMs);
std::string toString(const Outcome &outcome);

/// Requests that ran at a sound server, by their ids.
class Runs
{
public:
    void add(const std::string &id);
    bool contains(const std::string &id);

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};

/// Clients that send one request after the other, each on its own connection, which they keep.
/// Counts those that are cut: passed on to a sound server from a connection that was kept, which
/// then closes without an answer.
class KeptClients
{
public:
    KeptClients(Record &record, Runs &runs, std::string path, std::string body, int deadlineMs);
    void start(std::uint16_t port, int count, const std::string &name, double pauseMs = 0);
    void stop() { isStopping_ = true; }
    int cut() const { return cut_; }
    int answered() const { return answered_; }

private:
    void run(std::uint16_t port, const std::string &name, double pauseMs);

    Record &record_;
    Runs &runs_;
    std::string path_;
    std::string body_;
    int deadlineMs_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<int> cut_ = 0;
    std::atomic<int> answered_ = 0;
};

} // namespace review
