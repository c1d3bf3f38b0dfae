#pragma once

#include "store/StorePosition.h"

#include <functional>
#include <optional>

namespace lovagecourse {

/// The era of one store, as its answers tell. Handles answers that arrive after those of later
/// calls, and a store whose eras start again at a lower number.
class StoreEras
{
public:
    /// Which changes of the era were known when a call began.
    using Mark = StrongId<struct StoreErasMarkTag, std::uint64_t>;

    enum class Outcome : std::uint8_t {
        /// The answer is of the current era.
        Current,
        /// The answer begins another era, which is the current one now.
        Changed,
        /// The answer is of an era that has ended; what it returns may have been lost since.
        Ended
    };

    /// Called when the era has changed; empty for an era that is not known.
    using ChangeHandler =
            std::function<void(std::optional<StoreEra> before, std::optional<StoreEra> era)>;

    explicit StoreEras(ChangeHandler onChange = {});

    /// Mark of a call that begins now.
    Mark mark() const { return Mark(changes_); }
    /// The store has answered a call. era is empty if the answer names none.
    Outcome onAnswer(std::optional<StoreEra> era, Mark begun);
    std::optional<StoreEra> current() const { return current_; }
    /// Calls no handler from now on; answers to calls in progress may still arrive.
    void stop() { onChange_ = {}; }

private:
    ChangeHandler onChange_;
    bool isKnown_ = false;
    std::optional<StoreEra> current_;
    std::uint64_t changes_ = 0;
};

} // namespace lovagecourse
