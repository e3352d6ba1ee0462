#pragma once

#include "protocol/logcodec.h"
#include "state/failure.h"
#include "state/logrecord.h"
#include "state/time.h"

namespace sapphirecove::cli {

/** The configuration stream of the platform's log as the publisher sees it, and the clock that bounds its waits. */
class ConfigurationLog
{
public:
    virtual ~ConfigurationLog() = default;

    /** Reads records from @p from on; waits up to @p wait for one if there is none. */
    virtual state::Result<protocol::LogReadResponse> read(state::Offset from, state::Duration wait) = 0;

    /**
     * Appends @p record once. A Failure with transport::ConnectStep means that nothing was sent; after any other
     * Failure the record may be in the log.
     */
    virtual state::Result<void> append(const state::ConfigurationPublished &record) = 0;

    /** Returns the present time. */
    virtual state::Time now() = 0;

    /** Waits before the log is asked again after a failure. */
    virtual void pause(state::Duration duration) = 0;
};

} // namespace sapphirecove::cli
