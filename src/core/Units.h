#pragma once

#include "core/Ids.h"

#include <compare>

namespace lovagecourse {

/// Quantity whose unit is given by Tag; only quantities of the same unit can be added.
template <class Tag>
struct Quantity
{
    double value = 0;

    Quantity() = default;
    explicit Quantity(double initial)
        : value(initial)
    {}

    auto operator<=>(const Quantity &) const = default;

    Quantity &operator+=(Quantity other)
    {
        value += other.value;
        return *this;
    }
    Quantity &operator-=(Quantity other)
    {
        value -= other.value;
        return *this;
    }
    friend Quantity operator+(Quantity left, Quantity right) { return left += right; }
    friend Quantity operator-(Quantity left, Quantity right) { return left -= right; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }
};

/// Amount of service: tokens for inference engines, milliseconds for plain services.
using Work = Quantity<struct WorkTag>;
/// Fair-queueing weight of a client account; greater than 0.
using Share = Quantity<struct ShareTag>;
/// Normalised service of a flow in fair queueing: work divided by share, plus the start
/// offset of the flow.
using Position = Quantity<struct PositionTag>;

/// Normalises work by share, which must be greater than 0.
inline Position operator/(Work work, Share share)
{
    return Position(work.value / share.value);
}

/// Flow in fair queueing: the requests of one client account to one service.
struct FlowId
{
    AccountId account;
    ServiceId service;

    auto operator<=>(const FlowId &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, service);
    }
};

} // namespace lovagecourse

template <>
struct std::hash<lovagecourse::FlowId>
{
    std::size_t operator()(const lovagecourse::FlowId &flow) const noexcept
    {
        const std::size_t account = std::hash<lovagecourse::AccountId>{}(flow.account);
        return account * 1099511628211U ^ std::hash<lovagecourse::ServiceId>{}(flow.service);
    }
};
