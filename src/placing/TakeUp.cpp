#include "placing/TakeUp.h"

namespace lovagecourse {

TakeUpDecision decideTakeUp(const TakeUpInput &input)
{
    if (input.origin)
        return {TakeUpAction::GoOn, *input.origin};
    if (input.soleVersion)
        return {TakeUpAction::GoOn, *input.soleVersion};
    return {input.isRecordRead ? TakeUpAction::Refuse : TakeUpAction::ReadRecord, {}};
}

std::string_view toString(TakeUpAction action)
{
    switch (action) {
    case TakeUpAction::GoOn:
        return "go-on";
    case TakeUpAction::ReadRecord:
        return "read-record";
    case TakeUpAction::Refuse:
        return "refuse";
    }
    return "unknown";
}

} // namespace lovagecourse
