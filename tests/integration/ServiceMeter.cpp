#include "integration/ServiceMeter.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace lovagecourse::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds sampleInterval{20};
constexpr milliseconds pauseAfterFailure{50};
// Each event of a stream ends with two newlines and contains no other.
constexpr double newlinesPerToken = 2;

struct Reception
{
    std::atomic<long> *newlines;
    const std::atomic<bool> *stopping;
};

std::size_t onBytes(char *data, std::size_t size, std::size_t count, void *target)
{
    const auto &reception = *static_cast<Reception *>(target);
    *reception.newlines += std::count(data, data + size * count, '\n');
    return size * count;
}

int onProgress(void *target, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<Reception *>(target)->stopping->load() ? 1 : 0;
}

} // namespace

ServiceMeter::ServiceMeter(unsigned seed)
    : seed_(seed)
{}

ServiceMeter::~ServiceMeter()
{
    stopping_ = true;
    for (std::thread &caller : callers_)
        caller.join();
}

void ServiceMeter::addAccount(const std::string &name, double share,
                              const std::vector<std::string> &entries, const std::string &model,
                              int callers)
{
    auto account = std::make_unique<Account>();
    account->share = share;
    for (int i = 0; i < callers; ++i) {
        std::vector<std::string> order = entries;
        std::rotate(order.begin(), order.begin() + i % static_cast<int>(order.size()), order.end());
        callers_.emplace_back(&ServiceMeter::runCaller, this, std::ref(*account), name, order,
                              model, ++seed_);
    }
    accounts_[name] = std::move(account);
}

void ServiceMeter::runCaller(Account &account, const std::string &name,
                             std::vector<std::string> entries, const std::string &model,
                             unsigned seed) const
{
    std::mt19937 random(seed);
    Reception reception{&account.newlines, &stopping_};
    CURL *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBytes);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reception);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &reception);
    while (!stopping_) {
        const int cost = std::uniform_int_distribution<int>(10, 100)(random);
        const double factor = std::pow(10, std::uniform_real_distribution<double>(-1, 1)(random));
        const int hint = std::max(1, static_cast<int>(cost * factor));
        const nlohmann::json message{{"role", "user"},
                                     {"content", name + std::to_string(random())}};
        const std::string body = nlohmann::json{
                {"model", model},
                {"stream", true},
                {"max_tokens", cost},
                {"messages", {message}}}.dump();
        curl_slist *headers = nullptr;
        for (const std::string &line :
             {"Authorization: Bearer " + name + "-key", "X-Cost-Hint: " + std::to_string(hint)})
            headers = curl_slist_append(headers, line.c_str());
        curl_easy_setopt(handle, CURLOPT_URL, (entries.front() + "/v1/chat/completions").c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        const CURLcode code = curl_easy_perform(handle);
        curl_slist_free_all(headers);
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        if (code == CURLE_OK && status == 200) {
            account.newlines -= 2; // The [DONE] event is no token.
            continue;
        }
        std::rotate(entries.begin(), entries.begin() + 1, entries.end());
        if (!stopping_)
            std::this_thread::sleep_for(pauseAfterFailure);
    }
    curl_easy_cleanup(handle);
}

void ServiceMeter::start()
{
    started_ = std::chrono::steady_clock::now();
    takeSample();
}

void ServiceMeter::sampleFor(milliseconds time)
{
    const double end = elapsed() + std::chrono::duration<double>(time).count();
    while (elapsed() < end) {
        std::this_thread::sleep_for(sampleInterval);
        takeSample();
    }
}

void ServiceMeter::takeSample()
{
    Sample sample;
    sample.time =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - started_).count();
    for (const auto &[name, account] : accounts_)
        sample.tokens[name] = tokens(name);
    samples_.push_back(sample);
}

double ServiceMeter::tokens(const std::string &account) const
{
    return static_cast<double>(accounts_.at(account)->newlines.load()) / newlinesPerToken;
}

double ServiceMeter::elapsed() const
{
    return samples_.back().time;
}

double ServiceMeter::capacity() const
{
    double gained = 0;
    for (const auto &[name, tokens] : samples_.back().tokens)
        gained += tokens - samples_.front().tokens.at(name);
    return gained / elapsed();
}

double ServiceMeter::largestGap(double from, double to) const
{
    const auto isLater = [](double time, const Sample &sample) { return time < sample.time; };
    auto first = std::upper_bound(samples_.begin(), samples_.end(), from, isLater);
    if (first != samples_.begin())
        --first;
    const auto last = std::upper_bound(samples_.begin(), samples_.end(), to, isLater);
    double largest = 0;
    for (auto sample = first; sample != last; ++sample)
        largest = std::max(largest, gapBetween(*first, *sample));
    return largest;
}

double ServiceMeter::lastGap() const
{
    return gapBetween(samples_.front(), samples_.back());
}

double ServiceMeter::gapBetween(const Sample &from, const Sample &to) const
{
    const auto gained = [&](const std::string &name) {
        return (to.tokens.at(name) - from.tokens.at(name)) / accounts_.at(name)->share;
    };
    double largest = 0;
    for (const auto &[left, leftAccount] : accounts_) {
        for (const auto &[right, rightAccount] : accounts_) {
            const double smaller = std::min(leftAccount->share, rightAccount->share);
            largest = std::max(largest, (gained(left) - gained(right)) * smaller);
        }
    }
    return largest;
}

double ServiceMeter::longestWait(const std::string &account) const
{
    double longest = 0;
    double progressAt = 0;
    double highest = samples_.front().tokens.at(account);
    for (const Sample &sample : samples_) {
        if (sample.tokens.at(account) > highest) {
            highest = sample.tokens.at(account);
            progressAt = sample.time;
        }
        longest = std::max(longest, sample.time - progressAt);
    }
    return longest;
}

std::string ServiceMeter::describe() const
{
    std::ostringstream text;
    for (const auto &[name, account] : accounts_) {
        const double gained = samples_.back().tokens.at(name) - samples_.front().tokens.at(name);
        text << name << ' ' << gained / account->share << " per share, longest wait "
             << longestWait(name) << " s; ";
    }
    return text.str();
}

} // namespace lovagecourse::test
