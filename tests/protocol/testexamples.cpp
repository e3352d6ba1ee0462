#include "protocol/configurationfolder.h"
#include "protocol/keyhash.h"
#include "protocol/prompt.h"

#include "tests/protocol/failuredetail.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace sapphirecove;

namespace {

std::filesystem::path folderOf(const std::string &deployment)
{
    return std::filesystem::path(SAPPHIRECOVE_SOURCE) / "examples" / deployment;
}

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    return std::string((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
}

std::size_t targetsIn(const state::Configuration &configuration, const std::string &pool)
{
    return static_cast<std::size_t>(
        std::count_if(configuration.targets.begin(), configuration.targets.end(), [&](const auto &entry) {
            return entry.second.pool == pool;
        }));
}

/** Checks that the demonstration key of each customer leads to one of its hashes. */
void checkKeys(const std::string &deployment, const state::Configuration &configuration)
{
    std::istringstream lines(textOf(folderOf(deployment) / "keys.txt"));
    std::size_t keys = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with('#')) {
            continue;
        }
        const std::size_t space = line.find(' ');
        const std::string hash = tests::valueOf([&] {
            return protocol::hashKey(line.substr(space + 1));
        });
        CHECK(configuration.customers.at(line.substr(0, space)).keyHashes == std::vector{ hash });
        ++keys;
    }
    CHECK(keys == configuration.customers.size());
}

/** Checks that every target of the model pool can take the longest text. */
void checkLongestText(const state::Configuration &configuration,
                      const std::filesystem::path &text,
                      const std::string &pool)
{
    const std::uint32_t tokens = protocol::estimateTokens(textOf(text).size());
    CHECK(tokens > 10000);
    for (const auto &[id, target] : configuration.targets) {
        if (target.pool == pool) {
            const state::TargetCapacity capacity = target.capacity.value_or(configuration.pools.at(pool).capacity);
            CHECK(capacity.prefillTokens > static_cast<int>(tokens));
        }
    }
}

} // namespace

// Guards against examples that sapphirecove rejects, and keys that no longer match the hashes.
TEST_CASE("the examples are valid and have the sizes of their deployments", "[examples]")
{
    const auto adinkra = protocol::readConfigurationFolder(folderOf("adinkra") / "config");
    REQUIRE(adinkra.problems.empty());
    CHECK(adinkra.configuration.failureDomains.size() == 3);
    CHECK(adinkra.configuration.customers.size() == 5);
    CHECK(targetsIn(adinkra.configuration, "layout-llm") == 9);
    CHECK(targetsIn(adinkra.configuration, "orders-app") == 3);
    checkKeys("adinkra", adinkra.configuration);
    checkLongestText(adinkra.configuration, folderOf("adinkra") / "texts/guests-long.txt", "layout-llm");

    const auto daegu = protocol::readConfigurationFolder(folderOf("daegu") / "config");
    REQUIRE(daegu.problems.empty());
    CHECK(daegu.configuration.failureDomains.size() == 3);
    CHECK(daegu.configuration.customers.size() == 5);
    CHECK(targetsIn(daegu.configuration, "index-llm") == 12);
    CHECK(targetsIn(daegu.configuration, "catalogue-app") == 3);
    checkKeys("daegu", daegu.configuration);
    checkLongestText(daegu.configuration, folderOf("daegu") / "texts/minutes-long.txt", "index-llm");
}
