#include "direct/AnswerEvidence.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lovagecourse;

namespace {

struct AnswerEvidenceFixture
{
    static AnswerEvidence stream(BodyFraming framing, unsigned events, bool isInsideEvent)
    {
        AnswerEvidence evidence;
        evidence.framing = framing;
        evidence.isEventStream = true;
        evidence.eventCount = events;
        evidence.isInsideEvent = isInsideEvent;
        return evidence;
    }
};

} // namespace

// Guards against streams that count as whole because nothing more came.
TEST_CASE_METHOD(AnswerEvidenceFixture, "answer evidence, event stream ends, judges by its framing")
{
    CHECK(judgeAnswer(stream(BodyFraming::Chunked, 3, false)) == AnswerVerdict::Whole);
    CHECK(judgeAnswer(stream(BodyFraming::Chunked, 0, false)) == AnswerVerdict::Whole);
    CHECK(judgeAnswer(stream(BodyFraming::Length, 3, false)) == AnswerVerdict::Whole);
    CHECK(judgeAnswer(stream(BodyFraming::ConnectionEnd, 3, false)) == AnswerVerdict::Unproven);
    CHECK(judgeAnswer(stream(BodyFraming::ConnectionEnd, 0, false)) == AnswerVerdict::Broken);
    const BodyFraming framing =
            GENERATE(BodyFraming::Chunked, BodyFraming::Length, BodyFraming::ConnectionEnd);
    CHECK(judgeAnswer(stream(framing, 3, true)) == AnswerVerdict::Broken);
}

// Guards against answers that count as whole because another run of the server accepts connections,
// and against whole ones that are broken off.
TEST_CASE_METHOD(AnswerEvidenceFixture, "answer evidence, server checked, judges each case")
{
    constexpr milliseconds brief{900};
    constexpr milliseconds lasting{1100};
    constexpr auto unknown = RunComparison::Unknown;
    constexpr auto same = RunComparison::Same;
    constexpr auto changed = RunComparison::Changed;
    struct Row
    {
        ServerEvidence evidence;
        ServerVerdict verdict;
    };
    const std::vector<Row> rows{// No process that could have ended the answer itself.
                                {{false, brief, same, true}, ServerVerdict::Crashed},
                                {{false, lasting, unknown, false}, ServerVerdict::Crashed},
                                // Too short for a crash and the next run.
                                {{true, brief, same, false}, ServerVerdict::Stayed},
                                {{true, brief, unknown, false}, ServerVerdict::Stayed},
                                // Another run is registered, whatever else is known.
                                {{true, brief, changed, false}, ServerVerdict::Crashed},
                                {{true, lasting, changed, true}, ServerVerdict::Crashed},
                                // Only the registration after the end tells the runs apart.
                                {{true, lasting, same, true}, ServerVerdict::Stayed},
                                {{true, lasting, same, false}, ServerVerdict::Unproven},
                                {{true, lasting, unknown, true}, ServerVerdict::Unproven},
                                {{true, lasting, unknown, false}, ServerVerdict::Unproven}};
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CAPTURE(i);
        CHECK(judgeServer(rows[i].evidence) == rows[i].verdict);
    }
}

// Guards against plain answers that are checked or broken off needlessly.
TEST_CASE_METHOD(AnswerEvidenceFixture, "answer evidence, plain answer ends, judges by its framing")
{
    AnswerEvidence evidence;
    CHECK(judgeAnswer(evidence) == AnswerVerdict::Whole);
    evidence.framing = BodyFraming::ConnectionEnd;
    CHECK(judgeAnswer(evidence) == AnswerVerdict::Unproven);
}
