#include "state/failure.h"

namespace sapphirecove::state {

std::string describe(const Failure &failure)
{
    std::string text = "step=" + failure.step;
    if (!failure.peer.empty()) {
        text += " peer=" + failure.peer;
    }
    std::string quoted;
    for (const char c : failure.detail) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return text + " detail=\"" + quoted + '"';
}

} // namespace sapphirecove::state
