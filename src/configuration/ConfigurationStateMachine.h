#pragma once

#include "configuration/ConfigurationState.h"
#include "configuration/ReleaseNote.h"
#include "platform/LogRecord.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// The note was applied and received this number.
struct NoteAccepted
{
    NoteNumber number;
};

/// The note does not follow the newest accepted note.
struct NoteOutdated
{
    /// Newest accepted note.
    NoteNumber newest;
};

/// The note's text is malformed, or its changes conflict with the state.
struct NoteInvalid
{
    std::vector<NoteFault> faults;
};

/// The record holds a snapshot.
struct SnapshotRead
{
    /// True when the snapshot was newer and replaced the state.
    bool adopted = false;
};

/// The record can't be parsed, or holds a snapshot with an offset beyond its own; it is skipped.
struct RecordMalformed
{};

/// The state already contains the record's effect, from a peer, a snapshot or an earlier read.
struct RecordAlreadyApplied
{};

/// Earlier records are missing. The record is applied once a snapshot or a peer's state closes the
/// gap.
struct RecordBuffered
{};

using ApplyOutcome = std::variant<NoteAccepted, NoteOutdated, NoteInvalid, SnapshotRead,
                                  RecordMalformed, RecordAlreadyApplied, RecordBuffered>;

/// Applies the records of log stream "configuration" in order. Two daemons whose states have the
/// same offset have the same state, whichever records, snapshots and peer states they read.
class ConfigurationStateMachine
{
public:
    /// Applies a record; accepts records that are repeated or follow a gap.
    ApplyOutcome apply(const LogRecord &record);
    /// Replaces the state when the given one is newer; returns whether it was.
    bool adopt(const ConfigurationState &state);
    const ConfigurationState &state() const;
    /// Note records, accepted or not, that were processed since the newest snapshot.
    std::size_t notesSinceSnapshot() const;
    /// Time at which the newest snapshot was stored; the epoch when there is none.
    WallTime lastSnapshotTime() const;
    /// True while records between the state and the last record read are missing; the state is then
    /// valid, but outdated.
    bool hasGap() const;

private:
    ApplyOutcome applyNext(const LogRecord &record);
    ApplyOutcome applyNote(const LogRecord &record, const std::string &toml);
    ApplyOutcome adoptSnapshot(const ConfigurationState &state);
    void onSnapshotRecord(const LogRecord &record);
    void bufferRecord(const LogRecord &record);
    void applyBufferedRecords();

    ConfigurationState state_;
    std::size_t notesSinceSnapshot_ = 0;
    WallTime lastSnapshotTime_;
    /// Consecutive records after the gap.
    std::deque<LogRecord> buffered_;
};

/// Content of a record that holds a release note.
struct NoteRecord
{
    std::string toml;
};

/// Parses the JSON body of a record: a note, a snapshot's state, or neither.
std::variant<NoteRecord, ConfigurationState, RecordMalformed>
parseConfigurationRecord(const std::string &body);
/// JSON body of a record that holds a release note.
std::string noteRecordBody(const std::string &toml);
/// JSON body of a snapshot record.
std::string snapshotRecordBody(const ConfigurationState &state);
/// JSON form of a state, for peers, snapshots and option --json.
std::string stateToJson(const ConfigurationState &state);
/// Parses a state's JSON form; RecordMalformed when fields are missing or invalid.
std::variant<ConfigurationState, RecordMalformed> stateFromJson(const std::string &json);

} // namespace lovagecourse
