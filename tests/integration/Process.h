#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lovagecourse::test {

/// Child process of a test; killed when it goes out of scope.
class Process
{
public:
    /// Starts a program with its output going to a file.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    void signal(int number) const;
    /// SIGKILL, then waits for the end.
    void kill();
    /// SIGSTOP and SIGCONT.
    void freeze() const;
    void thaw() const;
    bool isRunning();
    /// Exit code once it ended by itself; 128 + signal when a signal ended it.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);

private:
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

/// Runs a program to its end; its exit code and standard output.
struct CommandResult
{
    int exitCode = -1;
    std::string output;
};
CommandResult runCommand(const std::vector<std::string> &command, const std::string &outputFile);

/// Polls a condition until it holds; false when the limit passes first.
bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition);

} // namespace lovagecourse::test
