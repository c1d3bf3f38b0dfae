#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Units.h"
#include "wire/Endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace lovagecourse {

/// Model services run language models; plain services are all others.
enum class ServiceKind : std::uint8_t { Model, Plain };

/// Customer whose requests are authenticated by API key and scheduled by its share of capacity.
struct ClientAccount
{
    AccountId name;
    /// Weight of the account in weighted fair sharing.
    Share share{1};
    /// SHA-256 digests of the account's API keys, in lower-case hex.
    std::vector<std::string> apiKeyDigests;
};

/// Service that backend servers provide to callers under one URL path.
struct Service
{
    ServiceId name;
    /// URL path of its requests; a path that ends with '/' matches all paths below it.
    std::string path;
    ServiceKind kind = ServiceKind::Plain;
    /// False when a request must not be executed more than once.
    bool repeatable = true;
    /// Maximum number of queued requests per account at one entry.
    std::uint32_t queueLimit = 1000;
    /// Time limit of requests that carry no deadline.
    milliseconds defaultDeadline{30000};
    /// Expected work of a request while there are no measurements.
    Work defaultCost{100};
    /// Requests with more expected work than this are scheduled as long requests.
    Work longAbove{1000};
};

/// Server that executes the requests that its agent forwards.
struct BackendServer
{
    ServerId name;
    HostId host;
    /// Address on which the server listens; used only by its agent.
    Endpoint address;
    /// TCP address on which its agent listens for links of entries.
    Endpoint agent;
    DataCentreId dataCentre;
    std::vector<ServiceId> services;
    std::vector<ModelId> models;
    /// True when the server checks fencing numbers and rejects outdated ones.
    bool checksFencing = false;
    /// Set by operators to drain the server before they withdraw it; it gets no new requests.
    bool leaving = false;
    /// Bounds of the concurrency limit, in requests that run at the same time.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 64;
};

/// Operators' command to one server, which the server's agent sends.
struct ServerOrder
{
    ServerId server;
    /// Log offset of the note that contains the order.
    FencingNumber fencing;
    /// "load-model", "unload-model", "load-adapter" or "set-role".
    std::string action;
    std::string argument;
};

/// Configuration that results from all accepted release notes up to an offset of the log.
struct ConfigurationState
{
    /// Offset after the last applied record; the state with the greater offset is newer.
    LogOffset offset;
    /// Newest accepted note.
    NoteNumber note;
    std::map<AccountId, ClientAccount> accounts;
    std::map<ServiceId, Service> services;
    std::map<ServerId, BackendServer> servers;
    /// Newest order per server and action.
    std::vector<ServerOrder> orders;
};

} // namespace lovagecourse
