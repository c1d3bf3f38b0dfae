#pragma once

namespace lovagecourse {

/// The submitted note lost the race against another one; nothing of it was taken.
constexpr int exitNoteLost = 3;
/// The platform can't be reached, or the log does not give the state.
constexpr int exitPlatform = 4;
/// The note that was asked for is not in the log.
constexpr int exitNoteNotFound = 1;

/// Runs "note submit FILE | list | show N | state | history"; argv[0] is "note". Returns the
/// exit code: 0, one of the codes above, or exitUsage for wrong arguments and faulty notes.
int runNoteCommand(int argc, char **argv);

} // namespace lovagecourse
