#pragma once

#include "state/entry/bounds.h"
#include "state/entry/routing.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Rates in requests per second at which a target may get requests from all hosts together. */
struct ColdPace
{
    double cold = 0; /**< while it is cold, as its service names it */
    /** At any other time: what a target bears that turns cold before any host knows; nothing for no limit. */
    std::optional<double> warm;

    /** Time for which unused requests are kept at these rates. */
    static constexpr double BurstSeconds = 0.2;

    friend bool operator==(const ColdPace &, const ColdPace &) = default;
};

/**
 * What the configuration and the bounds say about cold targets, which are slow for some time after their start and
 * crash at a rate well above the one that their service names.
 *
 * Answers the load of a failure domain or a region whose targets come back together and would be the first choice of
 * all hosts.
 */
class ColdRules
{
public:
    /** Applies the services of @p table under @p bounds. */
    void configure(const state::entry::RoutingTable &table, const state::entry::Bounds &bounds);

    /** Returns the rates at the targets of @p service; nothing if it names none. */
    std::optional<ColdPace> paceOf(std::string_view service) const;

    /** Returns for how long a target of @p service is cold after its start if it does not say so itself. */
    state::Duration coldTimeOf(std::string_view service) const;

    bool empty() const
    {
        return m_services.empty();
    }

private:
    struct Rule
    {
        ColdPace pace;
        state::Duration coldTime{};
    };

    std::map<std::string, Rule, std::less<>> m_services;
};

} // namespace sapphirecove::coordination::entry
