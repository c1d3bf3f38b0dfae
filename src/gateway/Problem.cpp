#include "gateway/Problem.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Reason names consist of letters and hyphens only, so no JSON escaping is needed below.
std::string makeTitle(RefusalReason reason)
{
    std::string title(toString(reason));
    std::replace(title.begin(), title.end(), '-', ' ');
    return title;
}

} // namespace

std::string makeProblemBody(const Refusal &refusal)
{
    std::string body = R"({"type":"urn:lovagecourse:problem:)";
    body += toString(refusal.reason);
    body += R"(","title":")";
    body += makeTitle(refusal.reason);
    body += R"(","status":)";
    body += std::to_string(httpStatus(refusal.reason));
    body += R"(,"ran":")";
    body += toString(refusal.ran);
    body += "\"}\n";
    return body;
}

} // namespace lovagecourse
