#include "state/failure.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::state;

// Guards against a log line that a newline or quote in an error text would break in two.
TEST_CASE("a failure is described on one line", "[failure]")
{
    const Failure failure{ "log.append", "127.0.0.1:7000", "first \"line\"\nsecond" };
    CHECK(describe(failure) == "step=log.append peer=127.0.0.1:7000 detail=\"first \\\"line\\\" second\"");
}
