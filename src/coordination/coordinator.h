#pragma once

#include "coordination/action.h"
#include "coordination/documentchecker.h"
#include "coordination/event.h"
#include "coordination/statusreport.h"
#include "state/failure.h"
#include "state/time.h"

#include <memory>
#include <span>
#include <string>

namespace sapphirecove::coordination {

/** Identity and timing of one host. */
struct CoordinatorOptions
{
    state::HostId host;
    state::Incarnation incarnation = 0;
    std::string region;
    std::string failureDomain;
    std::string placement = "cost"; /**< name of a registered placement policy */
    std::uint64_t seed = 0; /**< of the random generator */
    state::Duration drainTimeout = std::chrono::seconds(600);
    state::Duration claimRetention = std::chrono::hours(24); /**< how long the log retains claims */
};

/**
 * Decision logic of one host. It performs no I/O, reads no clock and starts no thread: it takes typed events with the
 * current time and returns typed actions. Not thread-safe; the owner calls it from one thread.
 */
class Coordinator
{
public:
    virtual ~Coordinator() = default;

    /**
     * Creates the coordinator of a host.
     * @p checker must outlive the result. Fails if the options name an unknown placement policy or no host.
     */
    static state::Result<std::unique_ptr<Coordinator>> create(const CoordinatorOptions &options,
                                                              const DocumentChecker &checker);

    /** Handles @p event at @p now; the returned actions are valid until the next call. */
    virtual std::span<const Action> handle(const Event &event, state::Time now) = 0;

    /** Returns the state of this host for operators. */
    virtual StatusReport status(state::Time now) const = 0;
};

} // namespace sapphirecove::coordination
