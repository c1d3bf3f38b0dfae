#include "direct/AnswerEvidence.h"

namespace lovagecourse {

std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence)
{
    return line << " framing=" << toString(evidence.framing)
                << " reused=" << evidence.isConnectionReused
                << " whole_head=" << evidence.isHeadWhole << " stream=" << evidence.isEventStream
                << " events=" << evidence.eventCount << " inside_event=" << evidence.isInsideEvent;
}

} // namespace lovagecourse
