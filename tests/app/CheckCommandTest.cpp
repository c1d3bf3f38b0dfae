#include "app/CheckReport.h"
#include "app/CommandLine.h"
#include "platform/ConfigurationDecoder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace lovagecourse;
using nlohmann::json;

namespace {

const std::filesystem::path sourceFolder = LOVAGECOURSE_SOURCE_DIR;
const std::string sound = R"({"version":2,"routes":[{"name":"r","hostname":"h","path_prefix":"/",
 "route_kind":"safe","timeout_ms":9,"max_attempts":2,"service":"s"}],"services":[{"name":"s"}],
 "tenants":[{"name":"a","api_keys":["secret-key"]}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
        text.replace(at, from.size(), to);
    return text;
}

struct CheckFixture
{
    std::filesystem::path folder = "check-test-" + std::to_string(getpid());

    CheckFixture() { std::filesystem::create_directory(folder); }
    ~CheckFixture() { std::filesystem::remove_all(folder); }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    }
    /// Runs the command; returns its exit code and standard output.
    static std::pair<int, std::string> run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"lovagecourse", "check"});
        std::vector<char *> argv;
        argv.reserve(arguments.size());
        for (std::string &argument : arguments)
            argv.push_back(argument.data());
        std::ostringstream output;
        std::ostringstream usage;
        std::streambuf *const previous = std::cout.rdbuf(output.rdbuf());
        std::streambuf *const previousErrors = std::cerr.rdbuf(usage.rdbuf());
        const int exitCode = runCommandLine(static_cast<int>(argv.size()), argv.data());
        std::cout.rdbuf(previous);
        std::cerr.rdbuf(previousErrors);
        return {exitCode, output.str()};
    }
    /// Kind of the first error, or empty.
    std::string errorOf(const std::string &text) const
    {
        const auto [exitCode, output] = run({write("c.json", text), "--json"});
        const json report = json::parse(output);
        CHECK(report["exit_code"] == exitCode);
        CHECK((exitCode == exitCheckErrors) == !report["errors"].empty());
        // Routers reject just the files that have an error.
        CHECK((exitCode == exitCheckErrors)
              == std::holds_alternative<DecodeFault>(platform::decodeConfiguration(text)));
        return report["errors"].empty() ? "" : report["errors"][0]["kind"].get<std::string>();
    }
};

} // namespace

// Guards against examples that routers reject or that mislead their readers.
TEST_CASE_METHOD(CheckFixture, "check command, examples of the repository, are clean")
{
    std::string settings;
    std::getline(std::ifstream(sourceFolder / "deploy/router.toml"), settings, '\0');
    settings = replaced(settings, "{{listen.front}}", "127.0.0.1:9001");
    settings = replaced(settings, "{{listen.ready}}", "127.0.0.1:9002");
    settings = replaced(settings, "{{ip}}:{{internal_ports.0}}", "127.0.0.1:9003");
    for (const char *bound : {"config_ms", "drain_ms", "grace_s", "budget_slack"})
        settings = replaced(settings, std::string("{{bounds.") + bound + "}}", "1000");
    settings = replaced(settings, "{{bounds.budget_window_s}}", "10");
    settings = replaced(settings, "{{bounds.budget_ratio}}", "0.2");
    settings = replaced(settings, "{{heartbeat_ms}}", "1200");
    for (const char *limit : {"max_fds", "memory_mb"})
        settings = replaced(settings, std::string("{{limits.") + limit + "}}", "512");
    settings = replaced(settings, "{{limits.cpu_share}}", "0.5");
    const std::string settingsFile = write("router.toml", settings);
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator(sourceFolder / "docs/examples")) {
        const auto [exitCode, output] = run({entry.path().string(), "--settings", settingsFile});
        CAPTURE(entry.path(), output);
        CHECK(exitCode == exitCheckClean);
        ++count;
    }
    CHECK(count > 0);
}

// Guards against a file that passes the check and is rejected by routers, and the reverse.
TEST_CASE_METHOD(CheckFixture, "check command, damaged files, give a typed error")
{
    constexpr std::size_t depth = 250000;
    CHECK(errorOf(sound).empty());
    CHECK(errorOf("").starts_with("syntax"));
    CHECK(errorOf("{\"version\":1,") == "syntax");
    CHECK(errorOf(std::string(depth, '[')) == "syntax");
    CHECK(errorOf("{\"version\":1,\"x\":\"\xff\"}") == "encoding");
    CHECK(errorOf("[]") == "not-an-object");
    CHECK(errorOf("{\"version\":-1}") == "field-invalid");
    CHECK(errorOf("{\"version\":1,\"routes\":[1]}") == "field-invalid");
    // Routers accept these, so they are warnings.
    CHECK(errorOf("{\"version\":1,\"version\":1}").empty());
    CHECK(errorOf("{\"version\":1,\"x\":" + std::string(depth, '[') + std::string(depth, ']') + '}')
                  .empty());
    const auto kindOf = [](const std::vector<std::string> &arguments) {
        const auto [exitCode, output] = run(arguments);
        CHECK(exitCode == exitCheckErrors);
        return json::parse(output)["errors"][0]["kind"].get<std::string>();
    };
    CHECK(kindOf({(folder / "absent").string(), "--json"}) == "file-unreadable");
    CHECK(kindOf({folder.string(), "--json"}) == "file-unreadable");
    CHECK(kindOf({write("large", std::string(17U << 20, ' ')), "--json"}) == "file-too-large");
    CHECK(kindOf({write("c.json", sound), "--settings", write("s", "name = 1"), "--json"})
          == "settings-invalid");
    CHECK(kindOf({write("c.json", sound), "--settings", (folder / "large").string(), "--json"})
          == "file-too-large");
    CHECK(kindOf({write("c.json", sound), "--against", write("old", "{"), "--json"}) == "syntax");
    CHECK(run({}).first == exitUsage);
}

// Guards against keys in the output, wrong exit codes, and text that controls a terminal.
TEST_CASE_METHOD(CheckFixture, "check command, warnings and differences, are shown without keys")
{
    const std::string old = write("old", sound);
    const std::string next = write("next", replaced(replaced(sound, "secret-key", "second-key"),
                                                    "\"version\":2", "\"version\":3"));
    const auto [clean, differences] = run({next, "--against", old});
    CHECK(clean == exitCheckClean);
    CHECK(differences.find("removed key 85dbe15d75ef9308") != std::string::npos);
    CHECK(differences.find("changed limits: version \"2\" -> \"3\"") != std::string::npos);
    const std::string odd =
            write("odd", replaced(sound, "[{\"name\":\"s\"}]", "[{\"name\":\"\\u001b[2J\"}]"));
    const auto [warnings, text] = run({odd, "--against", old});
    CHECK(warnings == exitCheckWarnings);
    CHECK(text.find(odd + ":2:64: warning: routes[0].service: ") != std::string::npos);
    CHECK(text.find('\x1b') == std::string::npos);
    const std::string broken = write("broken", replaced(sound, "\"secret-key\"", "\"secret-key"));
    for (const std::string &output : {differences, text, run({broken}).second, run({odd}).second})
        CHECK(output.find("-key") == std::string::npos);
    const json report = json::parse(run({odd, "--against", old, "--json"}).second);
    CHECK(report["warnings"][0]["kind"] == "service-unknown");
    CHECK(report["differences"][0]["entry"] == "service");
}
