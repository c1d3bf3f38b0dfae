#pragma once

#include "AnswerCheck.h"
#include "CurlMulti.h"
#include "LoadPlan.h"
#include "LoadStatistics.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Options of a load run.
struct LoadOptions
{
    LoadProfile profile;
    /// Base URLs without a path.
    std::vector<std::string> targets;
    std::string path = "/v1/chat/completions";
    std::string model = "model";
    /// Path of plain GET calls; empty sends model calls.
    std::string plainPath;
    /// Additional request headers, "Name: value".
    std::vector<std::string> headers;
    /// Requests streamed answers to model calls.
    bool isStreaming = false;
    /// Concurrent requests of a closed loop; 0 runs an open loop at the rate of the profile.
    std::uint64_t closedConnections = 0;
    std::chrono::duration<double> sendingTime{10};
    /// Time after the sending time in which answers may still arrive; later ones count as
    /// unfinished.
    std::chrono::duration<double> drainTime{30};
};

/// Sends requests in an open loop at a rate or in a closed loop, and checks every answer.
class LoadTool
{
public:
    LoadTool(EventLoop &loop, LoadOptions options);
    ~LoadTool();
    LoadTool(const LoadTool &) = delete;
    LoadTool &operator=(const LoadTool &) = delete;

    /// Starts the run; the event loop is stopped at its end.
    void start();
    /// Counts the requests without a complete answer as unfinished and returns the report.
    nlohmann::json finish();

private:
    /// One request in flight.
    struct Transfer
    {
        LoadTool *tool = nullptr;
        CURL *easy = nullptr;
        PlannedRequest request;
        AnswerCheck check{"", 0};
        TimePoint planned;
        TimePoint firstToken;
        std::string requestBody;
        std::string body;
        curl_slist *headers = nullptr;
    };

    void sendDueRequests();
    void sendNext(TimePoint planned);
    void configureRequest(CURL *easy, Transfer &transfer);
    static std::size_t onBytes(char *bytes, std::size_t size, std::size_t count, void *transfer);
    void onBody(Transfer &transfer, std::string_view bytes);
    void onDone(CURL *easy, CURLcode code);
    LoadOutcome classifyOutcome(Transfer &transfer, int status, CURLcode code);
    bool isExpectedPlainAnswer(const Transfer &transfer);
    void releaseTransfer(CURL *easy);
    void continueClosedLoop(LoadOutcome outcome);
    void stopIfDrained();
    bool isSending() const;
    const std::string &accountOf(const Transfer &transfer) const;

    EventLoop &loop_;
    LoadOptions options_;
    LoadPlan plan_;
    LoadStatistics statistics_;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> transfers_;
    CurlMulti multi_;
    Timer arrivalTimer_;
    Timer endTimer_;
    std::vector<std::unique_ptr<Timer>> pauseTimers_;
    TimePoint start_;
    TimePoint nextArrival_;
    /// Body of the first answer to a plain call; all later ones must equal it.
    std::string plainAnswer_;
};

/// Runs the sub-command `load`; returns the exit status.
int runLoad(int argc, char **argv);

} // namespace lovagecourse
