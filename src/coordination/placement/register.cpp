#include "coordination/placement/register.h"

#include "coordination/placement/costplacement.h"
#include "coordination/placement/firstcomeplacement.h"
#include "coordination/placement/leastoutstandingplacement.h"
#include "coordination/placement/randomplacement.h"
#include "coordination/placement/roundrobinplacement.h"
#include "coordination/placement/twochoicesplacement.h"

#include <algorithm>
#include <array>

namespace sapphirecove::coordination::placement {

namespace {

struct Registration
{
    std::string_view name;
    std::unique_ptr<Placement> (*make)();
};

template <typename Policy>
std::unique_ptr<Placement> make()
{
    return std::make_unique<Policy>();
}

/** Sorted by name. A new policy is added here. */
constexpr std::array Registrations{
    Registration{ "cost", make<CostPlacement> },
    Registration{ "firstcome", make<FirstComePlacement> },
    Registration{ "leastoutstanding", make<LeastOutstandingPlacement> },
    Registration{ "random", make<RandomPlacement> },
    Registration{ "roundrobin", make<RoundRobinPlacement> },
    Registration{ "twochoices", make<TwoChoicesPlacement> },
};

} // namespace

state::Result<std::unique_ptr<Placement>> create(std::string_view name)
{
    const auto *const found = std::ranges::find(Registrations, name, &Registration::name);
    if (found == Registrations.end()) {
        return state::fail("placement.create", name, "no such placement policy");
    }
    return found->make();
}

std::vector<std::string_view> names()
{
    std::vector<std::string_view> result;
    result.reserve(Registrations.size());
    for (const Registration &registration : Registrations) {
        result.push_back(registration.name);
    }
    return result;
}

} // namespace sapphirecove::coordination::placement
