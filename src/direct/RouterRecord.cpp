#include "direct/RouterRecord.h"

#include <algorithm>

namespace lovagecourse {

std::string formatRouterRecord(const RouterRecord &record)
{
    std::string text = toString(record.datagramEndpoint);
    if (record.dataCentre)
        text += ' ' + record.dataCentre->value;
    return text;
}

std::optional<RouterRecord> parseRouterRecord(std::string_view text)
{
    const std::size_t space = std::min(text.find(' '), text.size());
    const auto endpoint = parseEndpoint(text.substr(0, space));
    if (!endpoint)
        return std::nullopt;
    RouterRecord record{*endpoint, std::nullopt};
    if (space + 1 < text.size())
        record.dataCentre = DataCentreId(std::string(text.substr(space + 1)));
    return record;
}

} // namespace lovagecourse
