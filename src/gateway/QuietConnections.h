#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

struct MHD_Connection;

namespace lovagecourse {

/// Connection of a caller of which no request is being served.
struct QuietConnection
{
    MHD_Connection *connection = nullptr;
    /// No request line has arrived on it.
    bool isUnused = false;
    /// When it was accepted, or when its last answer ended.
    TimePoint since;
};

/// Returns whether a connection without a request line may be closed. Its first bytes may still be
/// on their way when it was just accepted, and a part of a request line is given as long as a
/// whole head.
bool mayCloseUnused(std::chrono::nanoseconds age, bool hasReceivedBytes);

/// Connections without a request, in the order in which they are closed when descriptors or memory
/// are scarce. Handles clients that open many connections and send nothing: those without a request
/// line come first, because their clients lose nothing; then the ones idle since their last answer.
/// Of each kind, the first is quiet for longest.
class QuietConnections
{
public:
    void addUnused(MHD_Connection *connection, TimePoint now);
    void addIdle(MHD_Connection *connection, TimePoint now);
    void remove(MHD_Connection *connection);
    /// Calls the function in this order until it returns false. It may remove the connection that
    /// it is called with.
    void visit(const std::function<bool(const QuietConnection &)> &function) const;

private:
    void add(const QuietConnection &quiet);

    std::map<std::uint64_t, QuietConnection> unused_;
    std::map<std::uint64_t, QuietConnection> idle_;
    std::unordered_map<MHD_Connection *, std::uint64_t> numbers_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace lovagecourse
