#include "Standins.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <thread>

namespace review {

namespace {

// The most items that the store returns in one page.
constexpr std::size_t pageItems = 500;
constexpr double startLimitMs = 15000;

template <class Serve>
std::uint16_t acceptInBackground(Serve serve)
{
    const auto [listener, port] = listenOnLoopback();
    std::thread([listener = listener, serve] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0)
                std::thread([serve, descriptor] { serve(descriptor); }).detach();
        }
    }).detach();
    return port;
}

std::string encodeBase64(const std::string &bytes)
{
    constexpr std::string_view letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                    | (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? letters[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::string bigEndian(std::uint64_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t i = 0; i < count; ++i)
        bytes[count - 1 - i] = static_cast<char>(value >> (8 * i));
    return bytes;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> fields;
    std::istringstream query(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    std::string field;
    while (std::getline(query, field, '&')) {
        const std::size_t equals = std::min(field.find('='), field.size() - 1);
        fields[field.substr(0, equals)] = field.substr(equals + 1);
    }
    return fields;
}

std::string plainAnswer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Entry in the store of a server that has started at the given time in s.
std::string entryText(const std::string &service, std::uint16_t port, long born = 1700000000)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port)
           + R"(","zone":"zone-a","version":"v1","slots":128,"state":"ready","cold_left_ms":0,)"
           + R"("sequence":1,"born":)" + std::to_string(born) + "000}";
}

std::string misdirected(const std::string &id)
{
    return "HTTP/1.1 421 Misdirected Request\r\nX-Lovagecourse-Instance-Id: " + id
           + "\r\nContent-Length: 0\r\n\r\n";
}

std::string unframedStreamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: "
           + request.header("x-lovagecourse-attempt-id")
           + "\r\nX-Lovagecourse-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
             "Connection: close\r\n\r\n";
}

} // namespace

Record::Record(const std::string &file)
    : stream_(file)
{}

void Record::writeLine(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    stream_ << std::fixed << std::setprecision(1) << std::setw(9) << nowMs() << ' ' << line
            << std::endl;
}

Store::Store()
    : port_(acceptInBackground([this](int descriptor) { serve(descriptor); }))
{}

void Store::put(const std::string &topic, const std::string &key, std::optional<std::string> value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, std::move(value)});
    changed_.notify_all();
}

std::string Store::readNewest(const std::string &topic, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> newest;
    const std::vector<Entry> &entries = topics_[topic];
    for (std::size_t i = 0; i < entries.size(); ++i)
        newest[entries[i].key] = i;
    std::ostringstream items;
    std::size_t count = 0;
    bool hasMore = false;
    for (auto item = newest.upper_bound(after); item != newest.end() && !hasMore; ++item) {
        const Entry &entry = entries[item->second];
        if (!entry.value)
            continue;
        hasMore = count == pageItems;
        if (hasMore)
            continue;
        items << (count++ > 0 ? "," : "") << R"({"key":")" << entry.key << R"(","value":")"
              << encodeBase64(*entry.value) << R"(","offset":)" << item->second << '}';
    }
    std::ostringstream page;
    page << R"({"items":[)" << items.str() << R"(],"has_more":)" << (hasMore ? "true" : "false")
         << R"(,"end_offset":)" << entries.size() << '}';
    return page.str();
}

std::string Store::readFrom(const std::string &topic, std::size_t from, double waitMs)
{
    std::unique_lock lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(waitMs),
                      [&] { return entries.size() > from; });
    std::string bytes = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
        const Entry &entry = entries[i];
        const std::string record =
                bigEndian(entry.key.size(), 1) + entry.key + entry.value.value_or("");
        bytes += bigEndian(record.size(), 4) + record;
    }
    return bytes;
}

void Store::append(const std::string &topic, const std::string &body)
{
    constexpr std::size_t headBytes = 5;
    if (body.size() < headBytes)
        return;
    const auto keyBytes = static_cast<std::uint8_t>(body[headBytes - 1]);
    put(topic, body.substr(headBytes, keyBytes), body.substr(headBytes + keyBytes));
}

void Store::serve(int descriptor)
{
    Connection connection(descriptor);
    Message request;
    while (readHead(connection, request) && readBody(connection, request)) {
        auto query = parseQuery(request.word(1));
        const std::string path = request.word(1).substr(0, request.word(1).find('?'));
        sleepMs(answerMs_);
        std::string body = R"({"offset":0,"end_offset":1})";
        if (path == "/v1/log-newest")
            body = readNewest(query["topic"], query["after"]);
        else if (path == "/v1/log-read")
            body = readFrom(query["topic"], std::stoul(query["from"]),
                            query.contains("wait_ms") ? std::stod(query["wait_ms"]) : 0);
        else
            append(query["topic"], request.body);
        if (!connection.send(plainAnswer(body)))
            return;
    }
}

Server::Server(std::string id, std::string service, Handler handler)
    : id_(std::move(id))
    , service_(std::move(service))
    , handler_(std::move(handler))
    , port_(acceptInBackground([this](int descriptor) { serve(descriptor); }))
{}

std::string Server::entry() const
{
    return entryText(service_, port_);
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    Message request;
    while (readHead(connection, request) && readBody(connection, request)) {
        const std::string expected = request.header("x-lovagecourse-expect-instance");
        if (!expected.empty() && expected != id_) {
            connection.send(misdirected(id_));
            continue;
        }
        if (!handler_(connection, request))
            return;
    }
}

RemoteServer::RemoteServer(std::string id, std::string service)
    : id_(std::move(id))
    , service_(std::move(service))
    , serverPort_(freePort())
    , linkPort_(acceptInBackground([this](int descriptor) { relay(descriptor); }))
{}

std::string RemoteServer::entry() const
{
    return entryText(service_, linkPort_, born_);
}

void RemoteServer::start()
{
    const std::string port = std::to_string(serverPort_);
    ++born_;
    process_ = fork();
    if (process_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl("/proc/self/exe", "review-case", "server", id_.c_str(), port.c_str(), nullptr);
    _exit(127);
}

void RemoteServer::crash()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
}

/// Copies bytes until the connection ends, and waits while the link is cut.
void RemoteServer::copy(Connection &from, Connection &to)
{
    constexpr double cutCheckMs = 5;
    bool isOpen = true;
    while (isOpen) {
        std::string bytes;
        isOpen = from.readSome(bytes);
        while (isCut_)
            sleepMs(cutCheckMs);
        if (!to.send(bytes))
            return;
    }
    to.shutdownSending();
}

void RemoteServer::relay(int descriptor)
{
    Connection router(descriptor);
    while (isCut_)
        sleepMs(5);
    Connection server(connectToLoopback(serverPort_));
    if (!server.isOpen())
        return;
    std::thread forward([&] { copy(router, server); });
    copy(server, router);
    router.shutdownSending();
    forward.join();
}

void RemoteServer::serveForever(const std::string &id, std::uint16_t port)
{
    const auto [listener, listenPort] = listenOnLoopback(port);
    while (true) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        std::thread([id, descriptor] {
            Connection connection(descriptor);
            Message request;
            if (!readHead(connection, request) || !readBody(connection, request))
                return;
            const std::string expected = request.header("x-lovagecourse-expect-instance");
            if (!expected.empty() && expected != id) {
                connection.send(misdirected(id));
                return;
            }
            sleepMs(firstEventMs);
            std::string head = unframedStreamHead(request);
            for (int event = 1; event <= events; ++event) {
                if (!connection.send(head + eventText(event)))
                    return;
                head.clear();
                sleepMs(pauseMs);
            }
        }).detach();
    }
}

std::string answerTo(const Message &request, int status, const std::string &body,
                     const std::string &headers)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " Status\r\nX-Lovagecourse-Attempt-Id: " + request.header("x-lovagecourse-attempt-id")
           + "\r\nX-Lovagecourse-Server-Stamp: stamp\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: "
           + request.header("x-lovagecourse-attempt-id")
           + "\r\nX-Lovagecourse-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n";
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: token\n\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

const std::string apiKey = "asnmgkcuyj8pjbvk9m68";

std::string configurationText(const std::vector<RouteText> &routes)
{
    std::ostringstream text;
    std::set<std::string> services;
    text << R"({"version":7,"routes":[)";
    for (const RouteText &route : routes) {
        text << (services.empty() ? "" : ",") << R"({"name":"r)" << route.path
             << R"(","hostname":"a.example","path_prefix":")" << route.path << R"(","route_kind":")"
             << route.kind << R"(","timeout_ms":)" << route.timeoutMs << R"(,"slo_ms":)"
             << route.objectiveMs << R"(,"priority":1,"service":")" << route.service
             << R"(","max_attempts":2,"public":)" << (route.isPublic ? "true" : "false") << '}';
        services.insert(route.service);
    }
    text << R"(],"services":[)";
    bool isFirst = true;
    for (const std::string &service : services) {
        text << (isFirst ? "" : ",") << R"({"name":")" << service
             << R"(","health_path":"/healthz","max_conns":630,"protocol":"h1","tls":false})";
        isFirst = false;
    }
    text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1100000},)"
            R"("tenants":[{"name":"hule930","api_keys":[")"
         << apiKey << R"("],"priority":1}]})";
    return text.str();
}

Router::Router(const Store &store)
    : front_(freePort())
    , ready_(freePort())
{
    std::string pattern = "/tmp/review-XXXXXX";
    if (!mkdtemp(pattern.data()))
        return;
    folder_ = pattern;
    const auto loopback = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    fields_ = {{"node_name", "edge-zone-a-1"},
               {"zone", "zone-a"},
               {"region", "region-a"},
               {"platform.address", loopback(store.port())},
               {"listen.front", loopback(front_)},
               {"listen.ready", loopback(ready_)},
               {"ip", "127.0.0.1"},
               {"internal_ports.0", std::to_string(freePort())},
               {"limits.max_fds", "4100"},
               {"limits.memory_mb", "260"},
               {"limits.cpu_share", "0.19"},
               {"heartbeat_ms", "1200"},
               {"bounds.budget_ratio", "0.2"},
               {"bounds.budget_slack", "58"},
               {"bounds.budget_window_s", "10"},
               {"bounds.config_ms", "2000"},
               {"bounds.drain_ms", "2000"},
               {"bounds.grace_s", "8"}};
    if (!writeSettings({}))
        return;
    const std::string settings = folder_ + "/settings.conf";
    const std::string log = folder_ + "/log";
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/lovagecourse", "target/lovagecourse", "router", "--settings",
              settings.c_str(), nullptr);
        _exit(127);
    }
    const double begin = nowMs();
    while (!isReady_ && nowMs() - begin < startLimitMs && isRunning()) {
        sleepMs(50);
        Connection probe(connectToLoopback(ready_));
        isReady_ = probe.isOpen()
                   && probe.send("GET /v1/readyz HTTP/1.1\r\nHost: a.example\r\n\r\n")
                   && readAnswer(probe, 1000).status == 200;
    }
}

void Router::removeFolder() const
{
    for (const char *name : {"/settings.conf", "/log"})
        unlink((folder_ + name).c_str());
    rmdir(folder_.c_str());
}

/// Fills in the template of the deploy file; false if that fails.
bool Router::writeSettings(const std::map<std::string, std::string> &changed) const
{
    std::ifstream file("deploy/router.toml");
    std::ostringstream bytes;
    bytes << file.rdbuf();
    std::string text = bytes.str();
    std::map<std::string, std::string> fields = changed;
    fields.insert(fields_.begin(), fields_.end());
    for (const auto &[name, value] : fields) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    if (text.empty() || text.find("{{") != std::string::npos)
        return false;
    const std::string path = folder_ + "/settings.conf";
    std::ofstream(path + ".new") << text;
    return rename((path + ".new").c_str(), path.c_str()) == 0;
}

void Router::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

double Router::memoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    std::string name;
    while (status >> name) {
        double kilobytes = 0;
        if (name == "VmRSS:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

bool Router::isRunning()
{
    if (process_ <= 0)
        return false;
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) != process_)
        return true;
    process_ = -1;
    end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit status " + std::to_string(WEXITSTATUS(status));
    return false;
}

void Router::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
    end_ = "killed by the case";
}

std::string requestText(const std::string &path, const std::string &id, int deadlineMs,
                        const std::string &body, const std::string &headers)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: " + id
           + "\r\nX-Lovagecourse-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Outcome readAnswer(Connection &connection, int deadlineMs)
{
    Outcome outcome;
    connection.setReadTimeout(deadlineMs);
    const bool isWhole =
            readHead(connection, outcome.answer) && readBody(connection, outcome.answer);
    if (isWhole) {
        outcome.ending = Ending::Answered;
        outcome.status = std::atoi(outcome.answer.word(1).c_str());
    } else {
        outcome.ending = connection.hasTimedOut() ? Ending::TimedOut : Ending::Closed;
    }
    return outcome;
}

std::string toString(const Outcome &outcome)
{
    switch (outcome.ending) {
    case Ending::Answered:
        return "answered " + std::to_string(outcome.status);
    case Ending::Closed:
        return "connection closed without a whole answer";
    case Ending::TimedOut:
        return "no answer in time";
    case Ending::NotConnected:
        break;
    }
    return "not connected";
}

void Runs::add(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
}

bool Runs::contains(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    return ids_.contains(id);
}

KeptClients::KeptClients(Record &record, Runs &runs, std::string path, std::string body,
                         int deadlineMs)
    : record_(record)
    , runs_(runs)
    , path_(std::move(path))
    , body_(std::move(body))
    , deadlineMs_(deadlineMs)
{}

void KeptClients::start(std::uint16_t port, int count, const std::string &name, double pauseMs)
{
    for (int i = 0; i < count; ++i)
        std::thread([this, port, pauseMs, client = name + std::to_string(i)] {
            run(port, client, pauseMs);
        }).detach();
}

void KeptClients::run(std::uint16_t port, const std::string &name, double pauseMs)
{
    int number = 0;
    while (!isStopping_) {
        Connection connection(connectToLoopback(port));
        if (!connection.isOpen())
            return;
        for (bool isKept = false; !isStopping_; isKept = true) {
            const std::string id = name + "-" + std::to_string(++number);
            record_.write("client sends ", id, isKept ? " on a kept" : " on a new", " connection");
            Outcome outcome{Ending::Closed, 0, {}};
            if (connection.send(requestText(path_, id, deadlineMs_, body_)))
                outcome = readAnswer(connection, deadlineMs_);
            const bool hasRun = runs_.contains(id);
            const bool isCut = isKept && hasRun && outcome.ending == Ending::Closed;
            record_.write("client sees ", id, ": ", toString(outcome),
                          hasRun ? ", ran at a server" : "", isCut ? ", CUT" : "");
            cut_ += isCut ? 1 : 0;
            answered_ += outcome.ending == Ending::Answered ? 1 : 0;
            if (outcome.ending != Ending::Answered
                || outcome.answer.header("connection") == "close")
                break;
            sleepMs(pauseMs);
        }
    }
}

} // namespace review
