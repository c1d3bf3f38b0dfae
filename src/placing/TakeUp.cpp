#include "placing/TakeUp.h"

namespace lovagecourse {

TakeUpDecision decideTakeUp(const TakeUpInput &input)
{
    if (input.origin)
        return {TakeUpAction::GoOn, *input.origin};
    if (input.soleVersion && input.list == ServerListState::Current)
        return {TakeUpAction::GoOn, *input.soleVersion};
    if (input.soleVersion && input.list == ServerListState::Unread)
        return {TakeUpAction::ReadServers, {}};
    return {input.isRecordRead ? TakeUpAction::Refuse : TakeUpAction::ReadRecord, {}};
}

std::string_view toString(TakeUpAction action)
{
    switch (action) {
    case TakeUpAction::GoOn:
        return "go-on";
    case TakeUpAction::ReadServers:
        return "read-servers";
    case TakeUpAction::ReadRecord:
        return "read-record";
    case TakeUpAction::Refuse:
        return "refuse";
    }
    return "unknown";
}

std::string_view toString(ServerListState list)
{
    switch (list) {
    case ServerListState::Unread:
        return "unread";
    case ServerListState::Current:
        return "current";
    case ServerListState::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

} // namespace lovagecourse
