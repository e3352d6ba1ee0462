#pragma once

#include "coordination/entry/targetload.h"
#include "state/time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Location of a host, and the region of each failure domain. */
struct Location
{
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string> regionOfDomain;
    std::string host; /**< name of this host */
};

/** Selects one of the targets that may take a request. An interface, so that policies can be compared. */
class TargetChoice
{
public:
    virtual ~TargetChoice() = default;

    /**
     * Returns the best of @p targets for @p work of a host in the failure domain @p origin; nullptr if @p targets is
     * empty.
     */
    virtual TargetLoad *
    choose(std::span<TargetLoad *const> targets, const Work &work, std::string_view origin) const = 0;
};

/**
 * Selects the target with the lowest cost: the expected time to the first event, plus a fraction of the stream's
 * duration, plus costs for the distance and for recent failures.
 *
 * Targets differ in speed by several times and prompts in length by a hundred times. Therefore the prompt tokens that a
 * target has yet to prefill, not its number of requests, determine when the next request starts.
 */
class ExpectedTimeChoice final : public TargetChoice
{
public:
    explicit ExpectedTimeChoice(std::map<std::string, std::string> regionOfDomain);

    TargetLoad *choose(std::span<TargetLoad *const> targets, const Work &work, std::string_view origin) const override;

private:
    double costOf(const TargetLoad &target, const Work &work, std::string_view origin) const;
    std::string_view regionOf(std::string_view domain) const;

    std::map<std::string, std::string, std::less<>> m_regionOfDomain;
};

} // namespace sapphirecove::coordination::entry
