#pragma once

namespace lovagecourse {

/// Exit code: another note with the same predecessor was accepted first (verdict "outdated").
constexpr int exitNoteOutdated = 3;
/// Exit code: a read or append failed, or the newest state cannot be computed from the log.
constexpr int exitPlatformFailure = 4;
/// Exit code: the log has no accepted note with the requested number.
constexpr int exitNoteNotFound = 1;

/// Runs "note submit FILE | list | show N | state | history"; argv[0] is "note". Returns the
/// exit code: 0, one of the codes above, or exitUsage for invalid arguments and invalid notes.
int runNoteCommand(int argc, char **argv);

} // namespace lovagecourse
