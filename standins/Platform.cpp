#include "Platform.h"

#include "PlatformService.h"
#include "wire/Endpoint.h"

#include <cxxopts.hpp>
#include <microhttpd.h>
#include <netinet/in.h>

#include <csignal>
#include <iostream>
#include <memory>

namespace lovagecourse {

namespace {

constexpr std::size_t maxBodyBytes = 16U << 20U;
// There is one thread per connection. Its call frames are small, so that a small stack suffices
// and hundreds of long polls fit.
constexpr std::size_t threadStackBytes = 256U << 10U;
constexpr unsigned connectionLimit = 4000;

MHD_Result storeQueryArgument(void *query, MHD_ValueKind, const char *name, const char *value)
{
    auto &arguments = *static_cast<std::map<std::string, std::string> *>(query);
    arguments[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result sendAnswer(MHD_Connection *connection, const PlatformAnswer &answer)
{
    // The const_cast is safe, because MHD_RESPMEM_MUST_COPY does not modify the buffer.
    MHD_Response *response = MHD_create_response_from_buffer(
            answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    const MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result onRequest(void *service, MHD_Connection *connection, const char *url, const char *method,
                     const char *, const char *data, std::size_t *size, void **context)
{
    if (*context == nullptr) {
        *context = new PlatformRequest{method, url, {}, {}, {}};
        return MHD_YES;
    }
    auto &request = *static_cast<PlatformRequest *>(*context);
    if (*size > 0) {
        if (request.body.size() + *size > maxBodyBytes)
            return MHD_NO;
        request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &storeQueryArgument,
                              &request.query);
    const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Record-Id");
    request.recordId = id == nullptr ? "" : id;
    const auto answer = static_cast<PlatformService *>(service)->handle(request);
    // MHD_NO closes the connection without an answer.
    return answer ? sendAnswer(connection, *answer) : MHD_NO;
}

void onCompleted(void *, MHD_Connection *, void **context, MHD_RequestTerminationCode)
{
    delete static_cast<PlatformRequest *>(*context);
    *context = nullptr;
}

MHD_Daemon *startServer(const Endpoint &endpoint, PlatformService &service)
{
    sockaddr_in address = toSocketAddress(endpoint);
    constexpr unsigned flags =
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    return MHD_start_daemon(flags, endpoint.port, nullptr, nullptr, &onRequest, &service,
                            MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
                            &onCompleted, nullptr, MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes,
                            MHD_OPTION_CONNECTION_LIMIT, connectionLimit,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

struct PlatformOptions
{
    Endpoint listen;
    std::chrono::seconds retention{0};
    std::uint64_t seed = 1;
};

std::optional<PlatformOptions> parseOptions(int argc, char **argv)
{
    cxxopts::Options options("lovagecourse-standins platform", "Platform stand-in");
    options.add_options()("listen", "address a.b.c.d:port", cxxopts::value<std::string>())(
            "retention-s", "seconds for which records are kept; 0 keeps them forever",
            cxxopts::value<std::uint64_t>()->default_value("0"))(
            "seed", "seed of the random failures",
            cxxopts::value<std::uint64_t>()->default_value("1"));
    try {
        const auto parsed = options.parse(argc, argv);
        const auto listen = parseEndpoint(
                parsed.count("listen") > 0 ? parsed["listen"].as<std::string>() : std::string());
        if (!listen) {
            std::cerr << "platform: --listen: expected a.b.c.d:port\n" << options.help();
            return std::nullopt;
        }
        return PlatformOptions{*listen,
                               std::chrono::seconds(parsed["retention-s"].as<std::uint64_t>()),
                               parsed["seed"].as<std::uint64_t>()};
    } catch (const cxxopts::exceptions::exception &fault) {
        std::cerr << "platform: " << fault.what() << '\n' << options.help();
        return std::nullopt;
    }
}

} // namespace

int runPlatform(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options)
        return 2;
    // Block the signals before threads start, so that only sigwait() below receives them.
    sigset_t terminationSignals;
    sigemptyset(&terminationSignals);
    sigaddset(&terminationSignals, SIGTERM);
    sigaddset(&terminationSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &terminationSignals, nullptr);
    PlatformService service(options->retention, options->seed);
    MHD_Daemon *server = startServer(options->listen, service);
    if (server == nullptr) {
        std::cerr << "platform: cannot listen on " << toString(options->listen) << '\n';
        return 1;
    }
    std::cout << "platform ready on " << toString(options->listen) << std::endl;
    int received = 0;
    sigwait(&terminationSignals, &received);
    service.stop();
    MHD_stop_daemon(server);
    return 0;
}

} // namespace lovagecourse
