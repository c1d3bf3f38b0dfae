#include "agent/AnswerTokens.h"

#include "documents/DocumentReader.h"

#include <algorithm>

namespace lovagecourse {

std::optional<Work> completionTokens(const std::string &body)
{
    static const DocumentSelection selection =
            selectFields({{"usage", selectFields({{"completion_tokens", selectScalar()}})}});
    const auto read = readDocument(body, selection);
    const auto *answer = std::get_if<nlohmann::json>(&read);
    const nlohmann::json::json_pointer pointer("/usage/completion_tokens");
    if (!answer || !answer->is_object() || !answer->contains(pointer)
        || !answer->at(pointer).is_number())
        return std::nullopt;
    return Work(std::max(0., answer->at(pointer).get<double>()));
}

} // namespace lovagecourse
