#pragma once

#include "direct/ClientRequest.h"
#include "http/HttpClient.h"

#include <string_view>

namespace lovagecourse {

/// Returns whether the bytes contain the status line of an answer, anywhere in a line.
bool containsStatusLine(std::string_view bytes);

/// Returns whether a body may contain a copy of another answer, which a server may send late on a
/// connection that is in use again. Without framing, any bytes become part of the body, so a status
/// line is enough on a reused connection. With a length, or on a new connection, text about HTTP is
/// more likely, so an attempt's id must follow. The end of a chunked body is not affected.
bool mayContainCopy(std::string_view body, BodyFraming framing, bool isConnectionReused,
                    const RequestCodec &codec);

} // namespace lovagecourse
