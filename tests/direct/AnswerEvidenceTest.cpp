#include "direct/AnswerEvidence.h"

#include <catch2/catch.hpp>

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

// Guards against plain answers that are checked or broken off needlessly.
TEST_CASE_METHOD(AnswerEvidenceFixture, "answer evidence, plain answer ends, judges by its framing")
{
    AnswerEvidence evidence;
    CHECK(judgeAnswer(evidence) == AnswerVerdict::Whole);
    evidence.framing = BodyFraming::ConnectionEnd;
    CHECK(judgeAnswer(evidence) == AnswerVerdict::Unproven);
}
