#include "wire/DatagramSocket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace lovagecourse {

namespace {

// Maximum number of datagrams per wake-up, so that a burst does not delay the links.
constexpr int maxReadsPerEvent = 64;
constexpr std::size_t receiveBytes = 2048;

} // namespace

std::variant<std::unique_ptr<DatagramSocket>, SocketFailure>
DatagramSocket::open(const WireContext &context, const Endpoint &endpoint, Handler onMessage)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return SocketFailure{errno};
    const sockaddr_in address = toSocketAddress(endpoint);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const SocketFailure failure{errno};
        close(descriptor);
        return failure;
    }
    return std::unique_ptr<DatagramSocket>(
            new DatagramSocket(context, descriptor, std::move(onMessage)));
}

DatagramSocket::DatagramSocket(const WireContext &context, int descriptor, Handler onMessage)
    : context_(context)
    , descriptor_(descriptor)
    , onMessage_(std::move(onMessage))
    , watcher_(context_.loop, descriptor, [this](int) { readAvailable(); })
{
    watcher_.watch(EV_READ);
}

DatagramSocket::~DatagramSocket()
{
    close(descriptor_);
}

void DatagramSocket::send(const Endpoint &endpoint, Message message)
{
    sendToAll({endpoint}, std::move(message));
}

void DatagramSocket::sendToAll(const std::vector<Endpoint> &endpoints, Message message)
{
    if (endpoints.empty())
        return;
    // Receivers check sequence numbers per sender, so one number serves all of them.
    const DatagramHeader header{context_.hello.daemon, context_.hello.incarnation, ++sequence_,
                                toEpochMilliseconds(context_.clock.wallNow())};
    const std::string bytes =
            encodeDatagram(context_.fleetKey, Datagram{header, std::move(message)});
    if (bytes.size() > maxDatagramBytes)
        return countFault(WireFault::Oversized);
    std::size_t sentBytes = 0;
    for (const Endpoint &endpoint : endpoints) {
        const sockaddr_in address = toSocketAddress(endpoint);
        const ssize_t sent = sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                    reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        if (sent < 0)
            context_.metrics.count("lovagecourse_datagram_send_failures_total");
        else
            sentBytes += static_cast<std::size_t>(sent);
    }
    context_.metrics.count("lovagecourse_datagrams_sent_total", {},
                           static_cast<double>(endpoints.size()));
    context_.metrics.count("lovagecourse_datagram_sent_bytes_total", {},
                           static_cast<double>(sentBytes));
}

void DatagramSocket::readAvailable()
{
    std::array<char, receiveBytes> buffer{};
    for (int reads = 0; reads < maxReadsPerEvent; ++reads) {
        const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        context_.metrics.count("lovagecourse_datagrams_received_total");
        context_.metrics.count("lovagecourse_datagram_received_bytes_total", {},
                               static_cast<double>(count));
        auto decoded =
                decodeDatagram(context_.fleetKey,
                               std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        if (const auto *fault = std::get_if<WireFault>(&decoded)) {
            countFault(*fault);
            continue;
        }
        Datagram &datagram = std::get<Datagram>(decoded);
        const auto replay = replayWindow_.check(datagram.header, context_.clock.wallNow());
        if (replay) {
            countFault(*replay);
            continue;
        }
        onMessage_(datagram.header.sender, std::move(datagram.message));
    }
}

void DatagramSocket::countFault(WireFault fault)
{
    context_.metrics.count("lovagecourse_datagram_faults_total", toString(fault));
}

} // namespace lovagecourse
