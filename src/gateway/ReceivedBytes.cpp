#include "gateway/ReceivedBytes.h"

// tcp_info of <netinet/tcp.h> lacks tcpi_bytes_received, and the two headers exclude each other.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace lovagecourse {

bool hasReceivedBytes(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool isKnown =
            getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
            && size >= offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
    return !isKnown || info.tcpi_bytes_received > 0;
}

} // namespace lovagecourse
