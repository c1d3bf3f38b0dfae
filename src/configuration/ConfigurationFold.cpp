#include "configuration/ConfigurationFold.h"

#include "configuration/NoteCheck.h"

#include <utility>

namespace lovagecourse {

namespace {

// A snapshot follows after 64 records; the rest is room for a late one. Older held records are
// dropped first, since the newest snapshot covers them.
constexpr std::size_t maxHeldRecords = 512;

LogOffset after(LogOffset offset)
{
    return LogOffset(offset.value + 1);
}

} // namespace

FoldOutcome ConfigurationFold::apply(const LogRecord &record)
{
    if (record.offset == state_.offset) {
        FoldOutcome outcome = foldNext(record);
        foldHeldRecords();
        return outcome;
    }
    const auto parsed = parseConfigurationRecord(record.body);
    const auto *snapshot = std::get_if<ConfigurationState>(&parsed);
    if (snapshot != nullptr && snapshot->offset <= record.offset)
        noteSnapshotSeen(record);
    if (record.offset < state_.offset)
        return RecordAlreadyFolded{};
    holdBack(record);
    if (snapshot != nullptr && snapshot->offset <= record.offset)
        return takeSnapshot(*snapshot);
    return RecordHeldBack{};
}

bool ConfigurationFold::adopt(const ConfigurationState &state)
{
    if (state.offset <= state_.offset)
        return false;
    state_ = state;
    foldHeldRecords();
    return true;
}

const ConfigurationState &ConfigurationFold::state() const
{
    return state_;
}

std::size_t ConfigurationFold::notesSinceSnapshot() const
{
    return notesSinceSnapshot_;
}

WallTime ConfigurationFold::lastSnapshotTime() const
{
    return lastSnapshotTime_;
}

bool ConfigurationFold::hasGap() const
{
    return !held_.empty();
}

/// Folds the record that follows directly on the state.
FoldOutcome ConfigurationFold::foldNext(const LogRecord &record)
{
    // The offset counts every record, so that readers with equal offsets have read the same.
    state_.offset = after(record.offset);
    const auto parsed = parseConfigurationRecord(record.body);
    if (const auto *note = std::get_if<NoteRecord>(&parsed))
        return foldNote(record, note->toml);
    const auto *snapshot = std::get_if<ConfigurationState>(&parsed);
    if (snapshot == nullptr || snapshot->offset > record.offset)
        return RecordMalformed{};
    noteSnapshotSeen(record);
    return SnapshotSeen{false};
}

FoldOutcome ConfigurationFold::foldNote(const LogRecord &record, const std::string &toml)
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

FoldOutcome ConfigurationFold::takeSnapshot(const ConfigurationState &state)
{
    return SnapshotSeen{adopt(state)};
}

void ConfigurationFold::noteSnapshotSeen(const LogRecord &record)
{
    notesSinceSnapshot_ = 0;
    lastSnapshotTime_ = record.time;
}

void ConfigurationFold::holdBack(const LogRecord &record)
{
    // A repeated record adds nothing; another gap makes the earlier records useless.
    if (!held_.empty() && record.offset <= held_.back().offset)
        return;
    if (!held_.empty() && record.offset != after(held_.back().offset))
        held_.clear();
    held_.push_back(record);
    if (held_.size() > maxHeldRecords)
        held_.pop_front();
}

/// Folds the held records as far as the state now reaches up to them.
void ConfigurationFold::foldHeldRecords()
{
    while (!held_.empty() && held_.front().offset <= state_.offset) {
        const LogRecord record = std::move(held_.front());
        held_.pop_front();
        if (record.offset == state_.offset)
            foldNext(record);
    }
}

} // namespace lovagecourse
