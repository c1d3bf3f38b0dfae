#include "integration/Process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace lovagecourse::test {

namespace {

constexpr std::chrono::milliseconds pollInterval{10};

int toExitCode(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    pid_ = fork();
    assert(pid_ >= 0);
    if (pid_ > 0)
        return;
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, -1))
    , exitCode_(other.exitCode_)
{}

Process &Process::operator=(Process &&other) noexcept
{
    kill();
    pid_ = std::exchange(other.pid_, -1);
    exitCode_ = other.exitCode_;
    return *this;
}

void Process::signal(int number) const
{
    if (pid_ > 0 && !exitCode_)
        ::kill(pid_, number);
}

void Process::kill()
{
    if (pid_ < 0 || !isRunning())
        return;
    signal(SIGKILL);
    waitForExit(std::chrono::seconds(10));
}

void Process::suspend() const
{
    signal(SIGSTOP);
}

void Process::resume() const
{
    signal(SIGCONT);
}

bool Process::isRunning()
{
    return !waitForExit(std::chrono::milliseconds(0));
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds limit)
{
    if (pid_ < 0)
        return exitCode_;
    waitUntil(limit, [this] {
        int status = 0;
        if (!exitCode_ && waitpid(pid_, &status, WNOHANG) == pid_)
            exitCode_ = toExitCode(status);
        return exitCode_.has_value();
    });
    return exitCode_;
}

double Process::peakMemoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    constexpr double kilobytesPerMb = 1024;
    for (std::string name; status >> name;) {
        double kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes)
            return kilobytes / kilobytesPerMb;
    }
    return 0;
}

std::size_t Process::descriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

CommandResult runCommand(const std::vector<std::string> &command, const std::string &outputFile)
{
    unlink(outputFile.c_str());
    Process process(command, outputFile);
    CommandResult result;
    result.exitCode = process.waitForExit(std::chrono::seconds(60)).value_or(-1);
    std::ifstream file(outputFile);
    std::ostringstream content;
    content << file.rdbuf();
    result.output = content.str();
    return result;
}

bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace lovagecourse::test
