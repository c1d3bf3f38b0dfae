#pragma once

#include "wire/Codec.h"
#include "wire/Messages.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Bytes of a message that depend on clients, servers and operators.
std::size_t contentBytes(const Message &message);

/// Takes messages from the front of the queue and encodes them as the payload of one frame. Returns
/// WireFault::Oversized if the first message alone exceeds maxFrameBytes. Handles large and many
/// messages that one iteration of the event loop collects.
std::variant<std::string, WireFault> takeFramePayload(std::deque<Message> &queue);

/// Splits a part of an answer, whose events need not be counted, so that each piece fits into a
/// frame. Handles recorded answers of any size.
std::vector<AnswerData> splitIntoFrames(const GrantId &grant, std::string_view bytes);

} // namespace lovagecourse
