#include "configuration/ConfigurationStateMachine.h"

#include "configuration/NoteApplier.h"

#include <utility>

namespace lovagecourse {

namespace {

// A snapshot is due after 64 notes; the rest allows for a late one. When the buffer is full, the
// oldest records are dropped, since the snapshot that closes the gap covers them.
constexpr std::size_t maxBufferedRecords = 512;

LogOffset nextOffset(LogOffset offset)
{
    return LogOffset(offset.value + 1);
}

} // namespace

ApplyOutcome ConfigurationStateMachine::apply(const LogRecord &record)
{
    if (record.offset == state_.offset) {
        ApplyOutcome outcome = applyNext(record);
        applyBufferedRecords();
        return outcome;
    }
    const auto parsed = parseConfigurationRecord(record.body);
    const auto *snapshot = std::get_if<ConfigurationState>(&parsed);
    if (snapshot != nullptr && snapshot->offset <= record.offset)
        onSnapshotRecord(record);
    if (record.offset < state_.offset)
        return RecordAlreadyApplied{};
    bufferRecord(record);
    if (snapshot != nullptr && snapshot->offset <= record.offset)
        return adoptSnapshot(*snapshot);
    return RecordBuffered{};
}

bool ConfigurationStateMachine::adopt(const ConfigurationState &state)
{
    if (state.offset <= state_.offset)
        return false;
    state_ = state;
    applyBufferedRecords();
    return true;
}

const ConfigurationState &ConfigurationStateMachine::state() const
{
    return state_;
}

std::size_t ConfigurationStateMachine::notesSinceSnapshot() const
{
    return notesSinceSnapshot_;
}

WallTime ConfigurationStateMachine::lastSnapshotTime() const
{
    return lastSnapshotTime_;
}

bool ConfigurationStateMachine::hasGap() const
{
    return !buffered_.empty();
}

/// Applies the record at the state's offset.
ApplyOutcome ConfigurationStateMachine::applyNext(const LogRecord &record)
{
    // Skipped records also advance the offset, so that equal offsets mean equal states.
    state_.offset = nextOffset(record.offset);
    const auto parsed = parseConfigurationRecord(record.body);
    if (const auto *note = std::get_if<NoteRecord>(&parsed))
        return applyNote(record, note->toml);
    const auto *snapshot = std::get_if<ConfigurationState>(&parsed);
    if (snapshot == nullptr || snapshot->offset > record.offset)
        return RecordMalformed{};
    onSnapshotRecord(record);
    return SnapshotRead{false};
}

ApplyOutcome ConfigurationStateMachine::applyNote(const LogRecord &record, const std::string &toml)
{
    ++notesSinceSnapshot_;
    auto parsed = parseReleaseNote(toml);
    if (auto *faults = std::get_if<std::vector<NoteFault>>(&parsed))
        return NoteInvalid{std::move(*faults)};
    const auto &note = std::get<ReleaseNote>(parsed);
    if (note.follows != state_.note)
        return NoteOutdated{state_.note};
    auto applied = applyReleaseNote(note, state_, FencingNumber(record.offset.value));
    if (auto *faults = std::get_if<std::vector<NoteFault>>(&applied))
        return NoteInvalid{std::move(*faults)};
    state_ = std::move(std::get<ConfigurationState>(applied));
    state_.note = NoteNumber(state_.note.value + 1);
    return NoteAccepted{state_.note};
}

ApplyOutcome ConfigurationStateMachine::adoptSnapshot(const ConfigurationState &state)
{
    return SnapshotRead{adopt(state)};
}

void ConfigurationStateMachine::onSnapshotRecord(const LogRecord &record)
{
    notesSinceSnapshot_ = 0;
    lastSnapshotTime_ = record.time;
}

void ConfigurationStateMachine::bufferRecord(const LogRecord &record)
{
    // Repeated records are ignored. A snapshot or state that closes a second gap also covers the
    // records before that gap.
    if (!buffered_.empty() && record.offset <= buffered_.back().offset)
        return;
    if (!buffered_.empty() && record.offset != nextOffset(buffered_.back().offset))
        buffered_.clear();
    buffered_.push_back(record);
    if (buffered_.size() > maxBufferedRecords)
        buffered_.pop_front();
}

/// Applies the buffered records that directly follow the state and drops those that it contains.
void ConfigurationStateMachine::applyBufferedRecords()
{
    while (!buffered_.empty() && buffered_.front().offset <= state_.offset) {
        const LogRecord record = std::move(buffered_.front());
        buffered_.pop_front();
        if (record.offset == state_.offset)
            applyNext(record);
    }
}

} // namespace lovagecourse
