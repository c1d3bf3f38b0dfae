#pragma once

#include "http/HttpClient.h"

namespace lovagecourse {

/// What is known of a connection after an answer.
struct ConnectionHistory
{
    /// Of the last answer.
    BodyFraming framing = BodyFraming::Length;
    /// The last answer names its request, so that a late copy of it can be told from another
    /// answer.
    bool namesRequest = false;
    /// Stricter parsers reject the head of the last answer.
    bool isHeadLenient = false;
};

/// Returns whether a connection may carry another request.
constexpr bool mayReuse(const ConnectionHistory &history)
{
    return history.framing != BodyFraming::ConnectionEnd && history.namesRequest
           && !history.isHeadLenient;
}

} // namespace lovagecourse
