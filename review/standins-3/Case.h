#pragma once

#include "AppServer.h"
#include "Router.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace review {

/// Exit status of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

/// The record of a case: what was sent, answered and run, with the time in ms.
class Record
{
public:
    explicit Record(const std::string &file)
        : file_(std::fopen(file.c_str(), "w"))
        , start_(Clock::now())
    {}
    ~Record()
    {
        if (file_)
            std::fclose(file_);
    }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    template <class... Parts>
    void write(const Parts &...parts)
    {
        std::ostringstream line;
        line << elapsedMs(start_) << ' ';
        (line << ... << parts);
        line << '\n';
        const std::lock_guard lock(mutex_);
        std::fputs(line.str().c_str(), file_);
        std::fflush(file_);
    }

    std::int64_t nowMs() const { return elapsedMs(start_); }

private:
    std::FILE *file_;
    Clock::time_point start_;
    std::mutex mutex_;
};

/// What a case gets from its script: the repository, a temporary folder, where its record goes.
struct CaseSetting
{
    std::string root;
    std::string folder;
    std::string record;
    bool hasTrouble = true;
};

inline CaseSetting caseSetting(int argc, char **argv)
{
    if (argc != 4) {
        std::fputs("usage: CASE ROOT FOLDER RECORD\n", stderr);
        std::exit(notRun);
    }
    const char *trouble = std::getenv("TROUBLE");
    return CaseSetting{argv[1], argv[2], argv[3], !trouble || std::string(trouble) != "0"};
}

/// One answer as a client gets it.
struct CallResult
{
    /// 0 without a complete head.
    int status = 0;
    Message answer;
    /// The connection was never made.
    bool isUnconnected = false;
    /// Neither an answer nor the connection's end before the limit.
    bool isSilent = false;
    std::int64_t tookMs = 0;
};

/// Sends a request on a connection and reads its answer.
inline CallResult exchange(Connection &connection, const std::string &request, milliseconds limit)
{
    const auto start = Clock::now();
    CallResult result;
    if (connection.send(request)) {
        auto answer = connection.readHead(start + limit);
        if (answer) {
            connection.readBody(*answer, true, start + limit);
            result.answer = std::move(*answer);
            result.status = result.answer.status();
        }
        result.isSilent = !connection.hasEnded() && !result.answer.isWhole;
    }
    result.tookMs = elapsedMs(start);
    return result;
}

inline CallResult call(std::uint16_t port, const std::string &request, milliseconds limit)
{
    const auto connection = Connection::open(port, milliseconds(1000));
    if (!connection) {
        CallResult result;
        result.isUnconnected = true;
        return result;
    }
    return exchange(*connection, request, limit);
}

} // namespace review
