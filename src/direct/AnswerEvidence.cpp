#include "direct/AnswerEvidence.h"

namespace lovagecourse {

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

std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence)
{
    return line << " framing=" << toString(evidence.framing)
                << " reused=" << evidence.isConnectionReused << " stream=" << evidence.isEventStream
                << " events=" << evidence.eventCount << " inside_event=" << evidence.isInsideEvent;
}

} // namespace lovagecourse
