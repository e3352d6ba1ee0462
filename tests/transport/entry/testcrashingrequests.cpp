#include "tests/transport/entry/crashingtarget.h"
#include "tests/transport/entry/entryfixture.h"

#include <algorithm>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

/** Crashes after which no more than AllowedAfter requests may reach targets: terms of the users' rule BUDGET. */
constexpr std::size_t CrashesToLearn = 3;
constexpr std::size_t AllowedAfter = 3;

constexpr std::string_view DeadlyBody = "a list that crashes targets";

/** Request of a caller, without its attempt id. */
struct Call
{
    std::string_view path;
    std::string_view method = "POST";
    std::string_view body = DeadlyBody;
    std::string_view key = "k1";
    bool chunked = false;
};

/** Host with targets that end when they begin to run a request that contains all the given texts. */
class CrashFixture
{
public:
    CrashFixture(std::size_t targets, const std::vector<std::string> &deadlyTexts)
    {
        std::vector<std::uint16_t> ports;
        for (std::size_t i = 0; i < targets; ++i) {
            m_targets.push_back(std::make_unique<CrashingTarget>(deadlyTexts, false));
            ports.push_back(m_targets.back()->port());
        }
        m_host = std::make_unique<EntryFixture>(ports);
    }

    /** Sends @p call with an attempt id of its own and returns the response. */
    std::string send(const Call &call)
    {
        const std::string id = "a" + std::to_string(++m_lastId);
        std::string request = EntryFixture::request(call.path, id, call.method, call.key) + "Connection: close\r\n";
        const std::string noLength = "Content-Length: 0\r\n";
        request.erase(request.find(noLength), noLength.size());
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", call.body.size());
        if (call.chunked) {
            request += "Transfer-Encoding: chunked\r\nX-Trace: " + id + "\r\n\r\n" + size + std::string(call.body)
                + "\r\n0\r\n\r\n";
        } else {
            request += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + std::string(call.body);
        }
        BlockingConnection connection(m_host->settings().callers.port);
        connection.write(request);
        return connection.readToEnd();
    }

    std::size_t crashed() const
    {
        return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &target) {
            return target->crashed();
        }));
    }

private:
    std::vector<std::unique_ptr<CrashingTarget>> m_targets;
    std::unique_ptr<EntryFixture> m_host;
    int m_lastId = 0;
};

bool isAnswered(const std::string &response)
{
    return response.starts_with("HTTP/1.1 200 ") && response.find("data: answered\n\n") != std::string::npos;
}

bool isRefusedAsNotRun(const std::string &response)
{
    return response.starts_with("HTTP/1.1 503 ") && response.find("Retry-After: ") != std::string::npos;
}

} // namespace

// Guards against BUDGET: a request that crashes targets comes again and goes on to reach one after the other.
TEST_CASE("a request that crashes targets stops reaching them on every kind of route", "[entry][host][crash]")
{
    const std::string_view path = GENERATE(LookupPath, CommitPath, NonResumableStreamPath);
    INFO(path);
    CrashFixture fixture(12, { std::string(DeadlyBody) });
    constexpr std::size_t rounds = 10;
    std::size_t answered = 0;
    std::string response;
    for (std::size_t round = 0; round < rounds; ++round) {
        response = fixture.send({ path, "POST", DeadlyBody, "k1", round % 2 == 1 });
        CHECK_FALSE(isAnswered(response));
        // A sound request shares path and caller.
        answered += isAnswered(fixture.send({ path, "POST", "list " + std::to_string(round) })) ? 1 : 0;
    }
    CHECK(fixture.crashed() <= CrashesToLearn + AllowedAfter);
    CHECK(answered == rounds);
    CHECK(isRefusedAsNotRun(response));
}

// Guards against BUDGET: a request without a body or parts of a prompt has only its path and caller.
TEST_CASE("a path that crashes targets stops reaching them and other paths are served", "[entry][host][crash]")
{
    const std::string deadlyPath = std::string(LookupPath) + "dead";
    CrashFixture fixture(12, { deadlyPath });
    constexpr std::size_t rounds = 10;
    std::size_t answered = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        CHECK_FALSE(isAnswered(fixture.send({ deadlyPath, "GET", {} })));
        answered += isAnswered(fixture.send({ LookupPath, "GET", {} })) ? 1 : 0;
    }
    CHECK(fixture.crashed() <= CrashesToLearn + AllowedAfter);
    CHECK(answered == rounds);
}

// Guards against LOST: a customer has another one's request blocked by sending the same path and body.
TEST_CASE("a request that crashes targets for one customer is served for another one", "[entry][host][crash]")
{
    CrashFixture fixture(12, { std::string(DeadlyBody), "X-Tenant: t1" });
    for (int round = 0; round < 6; ++round) {
        CHECK_FALSE(isAnswered(fixture.send({ CommitPath })));
    }
    CHECK(fixture.crashed() <= CrashesToLearn + AllowedAfter);
    CHECK(isAnswered(fixture.send({ CommitPath, "POST", DeadlyBody, SmallQuotaKey })));
}
