#include "settings/RouterSettings.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <optional>

using namespace lovagecourse;

namespace {

const std::string validSettings = R"(name = "r1"
data_centre = "a"
fleet_key = "0123456789abcdef"
platform = "http://127.0.0.1:9000"
callers = "127.0.0.1:9001"
ready = "127.0.0.1:9002"
admin = "127.0.0.1:9003"
datagrams = "127.0.0.1:9003"
max_sockets = 4100
max_memory_mb = 260
address_memory_percent = 40

[repeats]
ratio = 0.2
slack = 58
window_s = 10

[bounds]
configuration_ms = 2000
leaving_ms = 3000
renewal_ms = 900
max_pause_ms = 20000

[shutdown]
limit_s = 7.5
)";

struct RouterSettingsFixture
{
    std::string file = "/tmp/lovagecourse-router-settings-" + std::to_string(getpid());

    ~RouterSettingsFixture() { std::remove(file.c_str()); }

    RouterSettingsResult read(const std::string &text) const
    {
        std::ofstream(file) << text;
        return readRouterSettings(file);
    }
};

} // namespace

// Guards against values that are converted to the wrong unit.
TEST_CASE_METHOD(RouterSettingsFixture, "router settings, valid file, gives all values")
{
    const auto result = read(validSettings);
    REQUIRE(std::holds_alternative<RouterSettings>(result));
    const auto &settings = std::get<RouterSettings>(result);
    CHECK(settings.retryRatio == 0.2);
    CHECK(settings.retrySlack == 58);
    CHECK(settings.maxMemoryMb == 260);
    CHECK(settings.addressMemoryPercent == 40);
    CHECK(settings.maxLeavingDelay == seconds(3));
    CHECK(settings.renewalInterval == milliseconds(900));
    CHECK(settings.maxPause == seconds(20));
    CHECK(settings.shutdownLimit == milliseconds(7500));
    CHECK(settings.maxSockets == 4100);
}

// Guards against a router that starts with an unknown key, an invalid value or an unreadable file.
TEST_CASE_METHOD(RouterSettingsFixture, "router settings, faults, are all reported")
{
    const auto result = read(validSettings + "extra = 1\n[log]\nlevel = \"loud\"\n");
    REQUIRE(std::holds_alternative<std::vector<SettingsFault>>(result));
    CHECK(std::get<std::vector<SettingsFault>>(result).size() == 2);
    CHECK(std::holds_alternative<std::vector<SettingsFault>>(read("name = ")));
    CHECK(std::holds_alternative<std::vector<SettingsFault>>(readRouterSettings("/nowhere")));
}

// Guards against hedged requests without a setting that asks for them, and against shares that are
// negative, huge, misspelt or no number.
TEST_CASE_METHOD(RouterSettingsFixture,
                 "router settings, hedge share, is off by default and checked")
{
    const auto shareOf = [this](const std::string &text) -> std::optional<double> {
        const auto result = read(validSettings + text);
        if (const auto *settings = std::get_if<RouterSettings>(&result))
            return settings->hedgeShare;
        return std::nullopt;
    };
    CHECK(shareOf("") == 0.);
    CHECK(shareOf("[hedging]\n") == 0.);
    CHECK(shareOf("[hedging]\nshare = 0.02\n") == 0.02);
    CHECK(shareOf("[hedging]\nshare = 1\n") == 1.);
    for (const char *bad : {"share = -0.1", "share = 1.5", "share = 1e300", "share = nan",
                            "share = inf", "share = \"0.1\"", "shares = 0.1"})
        CHECK_FALSE(shareOf(std::string("[hedging]\n") + bad + "\n"));
}
