#include "Measure.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace lovagecourse {

using nlohmann::json;

namespace {

std::string shortNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.4g", value);
    return text;
}

bool meetsTarget(const MeasureTable &table, double value)
{
    return table.higherIsBetter ? value >= table.target : value <= table.target;
}

} // namespace

std::string toText(const MeasureTable &table)
{
    std::ostringstream text;
    text << table.name << " (" << table.unit << "), target "
         << (table.higherIsBetter ? "at least " : "at most ") << shortNumber(table.target)
         << ", seed " << table.seed << '\n';
    for (const MeasureRow &row : table.rows) {
        char line[96];
        std::snprintf(line, sizeof(line), "  %-24s %10s  %-6s ", row.policy.c_str(),
                      shortNumber(row.value).c_str(),
                      meetsTarget(table, row.value) ? "met" : "missed");
        text << line << row.details.dump() << '\n';
    }
    return text.str();
}

json toJson(const MeasureTable &table)
{
    json rows = json::array();
    for (const MeasureRow &row : table.rows)
        rows.push_back({{"policy", row.policy},
                        {"value", row.value},
                        {"met", meetsTarget(table, row.value)},
                        {"details", row.details}});
    return {{"measure", table.name},  {"unit", table.unit},
            {"target", table.target}, {"higher_is_better", table.higherIsBetter},
            {"seed", table.seed},     {"rows", rows}};
}

std::string toSvg(const MeasureTable &table)
{
    constexpr double width = 640;
    constexpr double left = 180;
    constexpr double rowHeight = 28;
    constexpr double top = 40;
    constexpr double barSpace = 380;
    double largest = table.target;
    for (const MeasureRow &row : table.rows)
        largest = std::max(largest, row.value);
    const double scale = largest > 0 ? barSpace / largest : 0;
    const double height = top + rowHeight * static_cast<double>(table.rows.size()) + 10;
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"13\">\n<text x=\"8\" y=\"20\">" << table.name
        << " (" << table.unit << "), seed " << table.seed << ", line: target "
        << shortNumber(table.target) << "</text>\n";
    double y = top;
    for (const MeasureRow &row : table.rows) {
        const char *colour = meetsTarget(table, row.value) ? "#3a7" : "#b55";
        const double length = std::max(0., row.value) * scale;
        svg << "<text x=\"8\" y=\"" << y + 15 << "\">" << row.policy << "</text>\n<rect x=\""
            << left << "\" y=\"" << y << "\" width=\"" << length << "\" height=\"20\" fill=\""
            << colour << "\"/>\n<text x=\"" << left + length + 5 << "\" y=\"" << y + 15 << "\">"
            << shortNumber(row.value) << "</text>\n";
        y += rowHeight;
    }
    const double x = left + table.target * scale;
    svg << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << top - 6 << "\" y2=\""
        << height - 6 << "\" stroke=\"black\" stroke-dasharray=\"4 3\"/>\n</svg>\n";
    return svg.str();
}

} // namespace lovagecourse
