#pragma once

#include "protocol/logcodec.h"
#include "state/failure.h"
#include "state/logrecord.h"
#include "state/time.h"

namespace sapphirecove::cli {

/** Interface of the publisher to the configuration stream of the shared log, and to the clock that times its waits. */
class ConfigurationLog
{
public:
    virtual ~ConfigurationLog() = default;

    /** Reads records starting at offset @p from; if there is none yet, waits up to @p wait for one. */
    virtual state::Result<protocol::LogReadResponse> read(state::Offset from, state::Duration wait) = 0;

    /**
     * Appends @p record without retries. A Failure with transport::ConnectStep means that nothing was sent; after any
     * other Failure the record may be in the log.
     */
    virtual state::Result<void> append(const state::ConfigurationPublished &record) = 0;

    /** Returns the current time. */
    virtual state::Time now() = 0;

    /** Sleeps for @p duration, before a retry or the next poll. */
    virtual void pause(state::Duration duration) = 0;
};

} // namespace sapphirecove::cli
