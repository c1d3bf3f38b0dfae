#include "app/CheckReport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace lovagecourse;

namespace {

std::size_t linesOf(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

CheckReport reportOf(std::size_t routes)
{
    CheckReport report;
    report.isCompared = true;
    report.hasSettings = true;
    for (std::size_t i = 0; i < routes; ++i)
        report.differences.push_back({ChangeKind::Added, EntryKind::Route, std::to_string(i), {}});
    report.differences.push_back({ChangeKind::Removed, EntryKind::Account, "last", {}});
    return report;
}

} // namespace

// Guards against an output that grows with a document of many changed entries, and against a change
// that is hidden by many of another kind.
TEST_CASE("check report, many differences, text lists the first ones and states how many it omits")
{
    const std::string text = formatText(reportOf(200000));
    CHECK(linesOf(text) == maxShownDifferences + 3);
    CHECK(text.find("added route 99\n") != std::string::npos);
    CHECK(text.find("added route 100\n") == std::string::npos);
    CHECK(text.find("199900 further route differences omitted; --json lists all\n")
          != std::string::npos);
    CHECK(text.find("removed account last\n") != std::string::npos);
    CHECK(text.find("200001 differences\n") != std::string::npos);
}

// Guards against differences that are omitted although all can be listed.
TEST_CASE("check report, as many differences as the text lists, omits none")
{
    const std::string text = formatText(reportOf(maxShownDifferences));
    CHECK(linesOf(text) == maxShownDifferences + 2);
    CHECK(text.find("omitted") == std::string::npos);
}

// Guards against programs that read an incomplete list.
TEST_CASE("check report, many differences, JSON lists all")
{
    const auto report = nlohmann::json::parse(formatJson(reportOf(200000)));
    CHECK(report["differences"].size() == 200001);
    CHECK(report["differences"].back()["id"] == "last");
}
