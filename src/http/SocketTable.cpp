#include "http/SocketTable.h"

namespace lovagecourse {

void SocketTable::add(const ConnectionAddress &address, curl_socket_t socket)
{
    remove(socket);
    sockets_[address] = socket;
    addresses_[socket] = address;
}

void SocketTable::remove(curl_socket_t socket)
{
    const auto found = addresses_.find(socket);
    if (found == addresses_.end())
        return;
    const auto entry = sockets_.find(found->second);
    if (entry != sockets_.end() && entry->second == socket)
        sockets_.erase(entry);
    addresses_.erase(found);
}

std::optional<curl_socket_t> SocketTable::find(const ConnectionAddress &address) const
{
    const auto found = sockets_.find(address);
    if (found == sockets_.end())
        return std::nullopt;
    return found->second;
}

} // namespace lovagecourse
