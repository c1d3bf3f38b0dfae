#pragma once

#include "configuration/ConfigurationState.h"
#include "configuration/ReleaseNote.h"
#include "platform/LogRecord.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// The note is in force; it got this number.
struct NoteAccepted
{
    NoteNumber number;
};

/// The note follows another note than the newest one.
struct NoteOutdated
{
    NoteNumber newest;
};

/// The note's content does not fit the state.
struct NoteInvalid
{
    std::vector<NoteFault> faults;
};

/// The record was a snapshot; newer tells whether it was taken as the state.
struct SnapshotSeen
{
    bool taken = false;
};

/// The record can't be read; it is counted and skipped.
struct RecordMalformed
{};

/// The state holds the record's effect already, because it came from a peer or a snapshot.
struct RecordAlreadyFolded
{};

/// Records before this one are missing, so its effect is unknown. It is kept and folded once a
/// snapshot or a peer's state closes the gap.
struct RecordHeldBack
{};

using FoldOutcome = std::variant<NoteAccepted, NoteOutdated, NoteInvalid, SnapshotSeen,
                                 RecordMalformed, RecordAlreadyFolded, RecordHeldBack>;

/// Folds the records of stream "configuration". All daemons that read the same records get the
/// same state.
class ConfigurationFold
{
public:
    FoldOutcome apply(const LogRecord &record);
    /// Takes a peer's state when it is newer; false when it is not.
    bool adopt(const ConfigurationState &state);
    const ConfigurationState &state() const;
    /// Notes since the newest snapshot.
    std::size_t notesSinceSnapshot() const;
    /// When the newest snapshot was stored; the epoch when there is none.
    WallTime lastSnapshotTime() const;
    /// True while records between the state and the last record are missing; the state is valid,
    /// but not the newest.
    bool hasGap() const;

private:
    FoldOutcome foldNext(const LogRecord &record);
    FoldOutcome foldNote(const LogRecord &record, const std::string &toml);
    FoldOutcome takeSnapshot(const ConfigurationState &state);
    void noteSnapshotSeen(const LogRecord &record);
    void holdBack(const LogRecord &record);
    void foldHeldRecords();

    ConfigurationState state_;
    std::size_t notesSinceSnapshot_ = 0;
    WallTime lastSnapshotTime_;
    /// Consecutive records after a gap.
    std::deque<LogRecord> held_;
};

/// Record that carries a release note.
struct NoteRecord
{
    std::string toml;
};

/// Content of a record: a note, a snapshot's state, or neither.
std::variant<NoteRecord, ConfigurationState, RecordMalformed>
parseConfigurationRecord(const std::string &body);
/// Body of a record that carries a release note's text.
std::string noteRecordBody(const std::string &toml);
/// Body of a snapshot record.
std::string snapshotRecordBody(const ConfigurationState &state);
/// JSON form of a state, for peers, snapshots and --json.
std::string stateToJson(const ConfigurationState &state);
/// State from its JSON form, or RecordMalformed.
std::variant<ConfigurationState, RecordMalformed> stateFromJson(const std::string &json);

} // namespace lovagecourse
