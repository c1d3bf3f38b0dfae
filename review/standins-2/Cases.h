#pragma once

#include "Fleet.h"

namespace review {

/// Verdicts of a case, which are also the exit codes.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;

/// A machine is in touch when its processes have run for stable_window_ms, which is 3 s.
constexpr milliseconds untilInTouch{3500};

struct RouteText
{
    std::string name;
    std::string kind;
    std::string service;
    int timeoutMs = 8000;
    int maxAttempts = 2;
    bool isResumable = false;
};

/// A configuration as the operator writes it, with one tenant. The prefix of a route's paths is its
/// name.
std::string configurationText(int version, const std::vector<RouteText> &routes);

/// A request with the headers of a client of the deployment.
struct RequestText
{
    std::string method = "GET";
    std::string route;
    std::string id;
    int deadlineMs = 8000;
    std::string headers;
    std::string body;

    std::string text() const;
};

int runSafeEvents(const CaseOptions &options);
int runEndlessEvents(const CaseOptions &options);
int runForeignEntry(const CaseOptions &options);
int runExtraResponse(const CaseOptions &options);
int runManyHeaders(const CaseOptions &options);

} // namespace review
