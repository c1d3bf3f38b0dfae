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
    LoadMix mix;
    /// Base URLs without a path.
    std::vector<std::string> targets;
    std::string path = "/v1/chat/completions";
    std::string model = "model";
    /// Path of plain calls; empty for model calls.
    std::string plainPath;
    /// More request headers, "Name: value".
    std::vector<std::string> headers;
    bool streams = false;
    /// Connections of a closed loop; 0 for an open loop.
    std::uint64_t closedConnections = 0;
    std::chrono::duration<double> sendingTime{10};
    /// Time for the answers after the last request; what is not answered by then is unfinished.
    std::chrono::duration<double> drainTime{30};
};

/// Sends requests at a rate or in a closed loop and checks every answer.
class LoadTool
{
public:
    LoadTool(EventLoop &loop, LoadOptions options);
    ~LoadTool();
    LoadTool(const LoadTool &) = delete;
    LoadTool &operator=(const LoadTool &) = delete;

    /// Starts the run; it stops the event loop when it is over.
    void start();
    /// Counts what is not answered as unfinished and gives the report.
    nlohmann::json finish();

private:
    /// One request on its way.
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

    void sendDue();
    void sendNext(TimePoint planned);
    void setRequest(CURL *easy, Transfer &transfer);
    static std::size_t onBytes(char *bytes, std::size_t size, std::size_t count, void *transfer);
    void onBody(Transfer &transfer, std::string_view bytes);
    void onDone(CURL *easy, CURLcode code);
    LoadOutcome judge(Transfer &transfer, int status, CURLcode code);
    bool isExpectedPlainAnswer(const Transfer &transfer);
    void release(CURL *easy);
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
    std::vector<std::unique_ptr<Timer>> retryTimers_;
    TimePoint start_;
    TimePoint nextArrival_;
    /// First answer of a plain call; the later ones must equal it.
    std::string plainAnswer_;
};

/// Runs the sub-command `load`; returns the exit status.
int runLoad(int argc, char **argv);

} // namespace lovagecourse
