#include "gateway/PressureDecision.h"

#include <tuple>

namespace lovagecourse {

namespace {

constexpr milliseconds maxBodyStall{500};
// A caller may read in bursts; servers cut off answers that are unread for some seconds.
constexpr milliseconds maxAnswerStall{1000};

bool makesProgress(const HeldBytes &held)
{
    const bool isBody = held.kind == HeldBytes::Kind::ArrivingBody;
    return held.sinceProgress < (isBody ? maxBodyStall : maxAnswerStall);
}

} // namespace

std::optional<std::size_t> chooseHeldBytesToEnd(const std::vector<HeldBytes> &held)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < held.size(); ++i) {
        if (held[i].bytes == 0 || makesProgress(held[i]))
            continue;
        if (!chosen
            || std::tie(held[i].bytes, held[i].sinceProgress)
                       > std::tie(held[*chosen].bytes, held[*chosen].sinceProgress))
            chosen = i;
    }
    return chosen;
}

BodyAdmission decideBodyAdmission(const BodyAdmissionInput &input)
{
    if (input.announcedBytes > input.maxBodyBytes)
        return BodyAdmission::TooLarge;
    return input.fits ? BodyAdmission::Read : BodyAdmission::NoMemory;
}

} // namespace lovagecourse
