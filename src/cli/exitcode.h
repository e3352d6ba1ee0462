#pragma once

namespace sapphirecove::cli {

/** Exit codes of all commands (section 8.4 of docs/design.md). */
enum class ExitCode {
    Success = 0,
    Failed = 1, /**< the operation failed or was not accepted */
    Usage = 2,
    Problems = 3, /**< the settings or the configuration are invalid */
    OutcomeUnknown = 4,
    NotYetInForce = 5, /**< accepted, but not yet in force on every live host */
};

} // namespace sapphirecove::cli
