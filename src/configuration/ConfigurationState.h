#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Units.h"
#include "wire/Endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace lovagecourse {

/// Kind of a service.
enum class ServiceKind : std::uint8_t { Model, Plain };

/// Customer of the operators, with its share of capacity.
struct ClientAccount
{
    AccountId name;
    Share share{1};
    /// SHA-256 digests of the account's keys, in lower-case hex.
    std::vector<std::string> keyDigests;
};

/// What callers reach under one path.
struct Service
{
    ServiceId name;
    /// Path of its requests; one that ends with '/' stands for all paths below it.
    std::string path;
    ServiceKind kind = ServiceKind::Plain;
    /// False when a request must not run twice.
    bool repeatable = true;
    /// Waiting requests per account at one entry.
    std::uint32_t queueLimit = 1000;
    /// Deadline of requests that name none.
    milliseconds defaultDeadline{30000};
    /// Expected work of a request before any was measured.
    Work defaultCost{100};
    /// Requests expected to need more work than this are long.
    Work longAbove{1000};
};

/// Server that runs requests, behind its agent.
struct BackendServer
{
    ServerId name;
    HostId host;
    /// Where the server itself listens, for its agent only.
    Endpoint address;
    /// Where its agent listens for links.
    Endpoint agent;
    DataCentreId dataCentre;
    std::vector<ServiceId> services;
    std::vector<ModelId> models;
    bool checksFencing = false;
    /// Set by operators before a server is withdrawn; it gets no new work.
    bool leaving = false;
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 64;
};

/// Order of the operators to one server, given by its agent.
struct ServerOrder
{
    ServerId server;
    /// Offset of the note that holds the order; its fencing number.
    FencingNumber fencing;
    /// "load-model", "unload-model", "load-adapter" or "set-role".
    std::string action;
    std::string argument;
};

/// Result of all accepted notes up to an offset of the log.
struct ConfigurationState
{
    /// Offset after the last folded record; states compare by it.
    LogOffset offset;
    NoteNumber note;
    std::map<AccountId, ClientAccount> accounts;
    std::map<ServiceId, Service> services;
    std::map<ServerId, BackendServer> servers;
    /// Newest order per server and action.
    std::vector<ServerOrder> orders;
};

} // namespace lovagecourse
