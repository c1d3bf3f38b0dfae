#include "direct/AnswerEvidence.h"

namespace lovagecourse {

std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence)
{
    return line << " framing=" << toString(evidence.framing)
                << " reused=" << evidence.isConnectionReused << " stream=" << evidence.isEventStream
                << " events=" << evidence.eventCount << " inside_event=" << evidence.isInsideEvent;
}

} // namespace lovagecourse
