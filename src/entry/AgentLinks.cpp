#include "entry/AgentLinks.h"

#include "core/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr milliseconds tickInterval{200};
constexpr milliseconds reconnectDelay{400};
// Agents send their state every second; one that sends nothing for this long is suspended or
// unreachable.
constexpr milliseconds agentTimeout{3000};

template <class Id>
bool contains(const std::vector<Id> &ids, const Id &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool serves(const BackendServer &server, const ServiceId &service, const ModelId &model)
{
    const bool hasModel = model.value.empty() || contains(server.models, model);
    return hasModel && contains(server.services, service);
}

} // namespace

AgentLinks::AgentLinks(Daemon &daemon, Handlers handlers)
    : daemon_(daemon)
    , handlers_(std::move(handlers))
    , tick_(daemon.loop(), [this] { onTick(); })
{
    tick_.startRepeating(tickInterval);
}

void AgentLinks::onConfiguration(const ConfigurationState &state)
{
    for (auto &[id, agent] : agents_)
        agent.inConfiguration = false;
    for (const auto &[id, server] : state.servers) {
        AgentLink &agent = agents_[id];
        const bool addressChanged = agent.server.agent != server.agent;
        agent.server = server;
        agent.inConfiguration = true;
        if (addressChanged && agent.link)
            onClosed(id, LinkClosed{});
        if (!agent.link)
            connect(agent);
    }
}

void AgentLinks::connect(AgentLink &agent)
{
    const ServerId id = agent.server.name;
    Link::Handlers handlers;
    handlers.onReady = [this, id](const Hello &hello) {
        agents_.at(id).hello = hello;
        logInfo(LogPart::Entry, "link to the agent of server ", id, " is up");
    };
    handlers.onMessage = [this, id](Message &&message) { onMessage(id, std::move(message)); };
    handlers.onClosed = [this, id](const LinkFailure &failure) { onClosed(id, failure); };
    auto connected = Link::connect(daemon_.wire(), daemon_.translateAddress(agent.server.agent),
                                   std::move(handlers));
    if (const auto *failure = std::get_if<SocketFailure>(&connected)) {
        logWarning(LogPart::Entry, "event=link-connect-failed server=", id,
                   " error=", toString(*failure));
        return onClosed(id, *failure);
    }
    agent.link = std::move(std::get<0>(connected));
}

void AgentLinks::onClosed(const ServerId &server, const LinkFailure &failure)
{
    AgentLink &agent = agents_.at(server);
    const bool wasUp = agent.hello.has_value();
    agent.link.reset();
    agent.hello.reset();
    agent.state.reset();
    agent.retryAt = daemon_.now() + reconnectDelay;
    if (!wasUp)
        return;
    logInfo(LogPart::Entry, "link to the agent of server ", server, " closed: ", toString(failure));
    handlers_.onDown(server);
}

void AgentLinks::onMessage(const ServerId &server, Message &&message)
{
    const auto *state = std::get_if<AgentState>(&message);
    if (!state) {
        handlers_.onMessage(server, std::move(message));
        return;
    }
    agents_.at(server).state = *state;
    handlers_.onState(server);
}

void AgentLinks::onTick()
{
    const TimePoint now = daemon_.now();
    std::vector<ServerId> unresponsive;
    for (auto &[id, agent] : agents_) {
        const bool isUnresponsive = agent.hello && now - agent.link->lastReceived() > agentTimeout;
        if (isUnresponsive)
            unresponsive.push_back(id);
        else if (!agent.link && agent.inConfiguration && now >= agent.retryAt)
            connect(agent);
        else
            sendLeaveNotice(agent);
    }
    for (const ServerId &server : unresponsive) {
        daemon_.metrics().count("lovagecourse_agent_silences_total");
        onClosed(server, LinkClosed{});
    }
}

void AgentLinks::sendLeaveNotice(const AgentLink &agent)
{
    const bool needsNoNotice = !agent.inConfiguration || !agent.state || agent.state->leaving;
    if (needsNoNotice)
        return;
    LeaveNotice notice;
    notice.offset = daemon_.configuration().state().offset;
    notice.byHostList = daemon_.isHostListFresh() && daemon_.isHostLeaving(agent.server.host);
    if (notice.byHostList || agent.server.leaving)
        agent.link->send(notice);
}

void AgentLinks::send(const ServerId &server, Message message)
{
    const auto found = agents_.find(server);
    if (found != agents_.end() && found->second.hello)
        found->second.link->send(std::move(message));
}

void AgentLinks::sendToAll(const Message &message)
{
    for (const auto &[id, agent] : agents_) {
        if (agent.hello)
            agent.link->send(message);
    }
}

bool AgentLinks::isUsable(const AgentLink &agent) const
{
    return agent.inConfiguration && agent.state && agent.state->serverUp && !agent.state->leaving
           && !agent.server.leaving && !daemon_.isHostLeaving(agent.server.host);
}

bool AgentLinks::isUsable(const ServerId &server) const
{
    const auto found = agents_.find(server);
    return found != agents_.end() && isUsable(found->second);
}

std::vector<Candidate> AgentLinks::candidates(const ServiceId &service, const ModelId &model) const
{
    std::vector<Candidate> result;
    for (const auto &[id, agent] : agents_) {
        if (!isUsable(agent) || !serves(agent.server, service, model))
            continue;
        Candidate candidate;
        candidate.server = id;
        candidate.dataCentre = agent.server.dataCentre;
        candidate.usable = true;
        candidate.limit = agent.state->limit;
        candidate.inFlight = agent.state->inFlight;
        candidate.queued = agent.state->queued;
        candidate.serviceTimeMs = agent.state->serviceTimeMs;
        result.push_back(std::move(candidate));
    }
    return result;
}

bool AgentLinks::isServed(const ServiceId &service, const ModelId &model) const
{
    return std::any_of(agents_.begin(), agents_.end(), [&](const auto &item) {
        return item.second.inConfiguration && serves(item.second.server, service, model);
    });
}

std::size_t AgentLinks::serverCount() const
{
    return agents_.size();
}

std::optional<Endpoint> AgentLinks::datagramEndpoint(const DaemonId &agent) const
{
    for (const auto &[id, link] : agents_) {
        if (link.hello && link.hello->daemon == agent)
            return link.hello->datagramEndpoint;
    }
    return std::nullopt;
}

void AgentLinks::fillStatus(nlohmann::json &page) const
{
    page["servers"] = nlohmann::json::array();
    for (const auto &[id, agent] : agents_) {
        if (!agent.inConfiguration)
            continue;
        nlohmann::json row{{"name", id.value},
                           {"data_centre", agent.server.dataCentre.value},
                           {"linked", agent.hello.has_value()},
                           {"usable", isUsable(agent)}};
        if (agent.state) {
            row["limit"] = agent.state->limit;
            row["in_flight"] = agent.state->inFlight;
            row["queued_offers"] = agent.state->queued;
            row["leaving"] = agent.state->leaving;
            row["note"] = agent.state->note.value;
        }
        page["servers"].push_back(std::move(row));
    }
}

} // namespace lovagecourse
