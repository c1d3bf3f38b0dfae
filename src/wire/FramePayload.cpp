#include "wire/FramePayload.h"

#include <algorithm>
#include <iterator>

namespace lovagecourse {

namespace {

// Messages are added to a frame up to this size, so that several large ones don't exceed the limit
// of a frame together.
constexpr std::size_t frameTargetBytes = 256U << 10;
// Fields other than the content; about the largest of an offer.
constexpr std::size_t fixedBytes = 256;

std::size_t bytesOf(const HeaderList &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

} // namespace

std::size_t contentBytes(const Message &message)
{
    if (const auto *accept = std::get_if<GrantAccept>(&message))
        return accept->body.size() + accept->path.size() + bytesOf(accept->headers);
    if (const auto *head = std::get_if<AnswerHead>(&message))
        return bytesOf(head->headers);
    if (const auto *reply = std::get_if<ConfigurationStateReply>(&message))
        return reply->state.size();
    const auto *data = std::get_if<AnswerData>(&message);
    return data ? data->bytes.size() : 0;
}

std::variant<std::string, WireFault> takeFramePayload(std::deque<Message> &queue)
{
    std::vector<Message> messages;
    std::size_t bytes = 0;
    while (!queue.empty()) {
        const std::size_t next = contentBytes(queue.front()) + fixedBytes;
        if (!messages.empty() && bytes + next > frameTargetBytes)
            break;
        bytes += next;
        messages.push_back(std::move(queue.front()));
        queue.pop_front();
    }
    std::string payload = encodeMessages(messages);
    while (payload.size() > maxFrameBytes) {
        if (messages.size() == 1)
            return WireFault::Oversized;
        // Messages with long lists are larger than estimated.
        const auto middle =
                messages.begin() + static_cast<std::ptrdiff_t>((messages.size() + 1) / 2);
        queue.insert(queue.begin(), std::make_move_iterator(middle),
                     std::make_move_iterator(messages.end()));
        messages.erase(middle, messages.end());
        payload = encodeMessages(messages);
    }
    return payload;
}

std::vector<AnswerData> splitIntoFrames(const GrantId &grant, std::string_view bytes)
{
    // Pieces of equal size, so that the end of an event stream, by which it is recognised as
    // complete, is not split.
    const std::size_t count =
            std::max<std::size_t>(1, (bytes.size() + frameTargetBytes - 1) / frameTargetBytes);
    const std::size_t size = (bytes.size() + count - 1) / count;
    std::vector<AnswerData> pieces;
    for (std::size_t i = 0; i < count; ++i)
        pieces.push_back(AnswerData{grant, 0, 0, std::string(bytes.substr(i * size, size))});
    return pieces;
}

} // namespace lovagecourse
