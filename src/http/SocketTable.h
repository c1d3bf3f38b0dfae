#pragma once

#include "http/ConnectionAddress.h"

#include <curl/curl.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace lovagecourse {

/// Sockets of the open connections. Before a request, libcurl names only the addresses of the
/// connection that it has chosen.
class SocketTable
{
public:
    /// Replaces earlier entries of the socket and of the address.
    void add(const ConnectionAddress &address, curl_socket_t socket);
    /// Unknown sockets are ignored.
    void remove(curl_socket_t socket);
    std::optional<curl_socket_t> find(const ConnectionAddress &address) const;

private:
    std::map<ConnectionAddress, curl_socket_t> sockets_;
    std::unordered_map<curl_socket_t, ConnectionAddress> addresses_;
};

} // namespace lovagecourse
