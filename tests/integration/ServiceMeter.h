#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lovagecourse::test {

/// Load generator that keeps accounts backlogged with streamed chat requests and samples the tokens
/// that each account receives. The cost hint of a request is wrong by a factor of up to ten.
class ServiceMeter
{
public:
    explicit ServiceMeter(unsigned seed);
    ~ServiceMeter();

    /// Starts callers, spread over the entries. A caller switches to the next entry after a
    /// failure.
    void addAccount(const std::string &name, double share, const std::vector<std::string> &entries,
                    const std::string &model, int callers);
    /// Takes the first sample; times and totals are relative to it.
    void start();
    /// Samples every 20 ms for the given time.
    void sampleFor(std::chrono::milliseconds time);

    double tokens(const std::string &account) const;
    /// Seconds from start() to the last sample.
    double elapsed() const;
    /// Mean tokens per second of all accounts together since start().
    double capacity() const;
    /// Largest difference in tokens per share between two accounts, times the smaller share,
    /// counted from the sample at `from` to any sample up to `to` (seconds since start()).
    double largestGap(double from, double to) const;
    /// The same difference from start() to the last sample.
    double lastGap() const;
    /// Longest time in seconds without a new token for the account.
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
    double gapBetween(const Sample &from, const Sample &to) const;

    unsigned seed_;
    std::atomic<bool> stopping_{false};
    std::map<std::string, std::unique_ptr<Account>> accounts_;
    std::vector<std::thread> callers_;
    std::chrono::steady_clock::time_point started_;
    std::vector<Sample> samples_;
};

} // namespace lovagecourse::test
