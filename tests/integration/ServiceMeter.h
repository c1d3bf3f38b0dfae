#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovagecourse::test {

/// Callers that keep accounts backlogged with streamed chat requests, and the tokens that they
/// received over time. The hint of a request is up to ten times off its cost.
class ServiceMeter
{
public:
    explicit ServiceMeter(unsigned seed);
    ~ServiceMeter();

    /// Starts callers, spread over the entries; a caller whose entry fails goes to the next one.
    void addAccount(const std::string &name, double share, const std::vector<std::string> &entries,
                    const std::string &model, int callers);
    /// Begins the measurement at the present state.
    void start();
    /// Samples for this time.
    void sampleFor(std::chrono::milliseconds time);

    double tokens(const std::string &account) const;
    /// Seconds since start().
    double elapsed() const;
    /// Tokens per second of all accounts since start().
    double capacity() const;
    /// Largest gap in (tokens / share) gained by any two accounts, times the smaller share, from a
    /// time on until any sample up to another.
    double largestGap(double from, double to) const;
    /// Longest time in seconds between two samples that show progress of an account.
    double longestWait(const std::string &account) const;
    std::string describe() const;

private:
    struct Account
    {
        double share = 1;
        std::atomic<long> newlines{0};
    };
    struct Sample
    {
        double time = 0;
        std::map<std::string, double> tokens;
    };

    void runCaller(Account &account, const std::string &name, std::vector<std::string> entries,
                   const std::string &model, unsigned seed) const;
    void takeSample();

    unsigned seed_;
    std::atomic<bool> stopping_{false};
    std::map<std::string, std::unique_ptr<Account>> accounts_;
    std::vector<std::thread> callers_;
    std::chrono::steady_clock::time_point started_;
    std::vector<Sample> samples_;
};

} // namespace lovagecourse::test
