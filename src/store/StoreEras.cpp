#include "store/StoreEras.h"

#include <utility>

namespace lovagecourse {

StoreEras::StoreEras(ChangeHandler onChange)
    : onChange_(std::move(onChange))
{}

StoreEras::Outcome StoreEras::onAnswer(std::optional<StoreEra> era, Mark begun)
{
    if (!isKnown_) {
        isKnown_ = true;
        current_ = era;
        return Outcome::Current;
    }
    if (era == current_)
        return Outcome::Current;
    // A lower era in the answer to a later call is no late answer: the store counts anew.
    if (era < current_ && begun.value < changes_)
        return Outcome::Ended;
    const auto before = std::exchange(current_, era);
    ++changes_;
    if (onChange_)
        onChange_(before, era);
    return Outcome::Changed;
}

} // namespace lovagecourse
