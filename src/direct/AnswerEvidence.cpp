#include "direct/AnswerEvidence.h"

namespace lovagecourse {

namespace {

// Servers of the platform take seconds from a crash to the next run. Most sound answers have no
// silence of this length, so that they need no newer registration.
constexpr std::chrono::milliseconds minRestartTime{1000};

} // namespace

std::string_view toString(AnswerVerdict verdict)
{
    switch (verdict) {
    case AnswerVerdict::Whole:
        return "whole";
    case AnswerVerdict::Unproven:
        return "unproven";
    case AnswerVerdict::Broken:
        return "broken";
    }
    return {};
}

AnswerVerdict judgeAnswer(const AnswerEvidence &evidence)
{
    if (evidence.isEventStream && evidence.isInsideEvent)
        return AnswerVerdict::Broken;
    if (evidence.framing != BodyFraming::ConnectionEnd)
        return AnswerVerdict::Whole;
    const bool isEmptyStream = evidence.isEventStream && evidence.eventCount == 0;
    return isEmptyStream ? AnswerVerdict::Broken : AnswerVerdict::Unproven;
}

std::string_view toString(ServerVerdict verdict)
{
    switch (verdict) {
    case ServerVerdict::Stayed:
        return "stayed";
    case ServerVerdict::Unproven:
        return "unproven";
    case ServerVerdict::Crashed:
        return "crashed";
    }
    return {};
}

ServerVerdict judgeServer(const ServerEvidence &evidence)
{
    if (!evidence.acceptsConnections || evidence.run == RunComparison::Changed)
        return ServerVerdict::Crashed;
    if (evidence.longestSilence < minRestartTime)
        return ServerVerdict::Stayed;
    const bool isSameRun = evidence.run == RunComparison::Same && evidence.isRegistrationNewer;
    return isSameRun ? ServerVerdict::Stayed : ServerVerdict::Unproven;
}

std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence)
{
    return line << " framing=" << toString(evidence.framing)
                << " reused=" << evidence.isConnectionReused << " stream=" << evidence.isEventStream
                << " events=" << evidence.eventCount << " inside_event=" << evidence.isInsideEvent
                << " silence_ms="
                << std::chrono::duration_cast<std::chrono::milliseconds>(evidence.longestSilence)
                           .count();
}

} // namespace lovagecourse
