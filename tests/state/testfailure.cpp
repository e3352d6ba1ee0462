#include "state/failure.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::state;

// Guards against a newline or a quote in an error text that breaks the log line.
TEST_CASE("a failure is described on one line", "[failure]")
{
    const Failure failure{ "log.append", "127.0.0.1:7000", "first \"line\"\nsecond" };
    CHECK(describe(failure) == "step=log.append peer=127.0.0.1:7000 detail=\"first \\\"line\\\" second\"");
}
