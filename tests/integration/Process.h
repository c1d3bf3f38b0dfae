#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lovagecourse::test {

/// Child process of a test; the destructor kills it.
class Process
{
public:
    /// Starts a program; appends its standard output and standard error to a file.
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    void signal(int number) const;
    /// Sends SIGKILL and waits for the exit.
    void kill();
    /// Sends SIGSTOP.
    void suspend() const;
    /// Sends SIGCONT.
    void resume() const;
    bool isRunning();
    pid_t id() const { return pid_; }
    /// Largest resident memory so far.
    double peakMemoryMb() const;
    /// Number of open file descriptors.
    std::size_t descriptors() const;
    /// Exit code, or 128 + signal number if a signal ended the process; empty if it still runs
    /// after the limit.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);

private:
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

/// Exit code and output (standard output and standard error) of a finished program.
struct CommandResult
{
    int exitCode = -1;
    std::string output;
};
/// Runs a program to its end, at most 60 s; exit code -1 if it was still running.
CommandResult runCommand(const std::vector<std::string> &command, const std::string &outputFile);

/// Polls a condition every 10 ms until it holds; false if it did not within the limit.
bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition);

} // namespace lovagecourse::test
