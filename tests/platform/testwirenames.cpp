#include <catch2/catch.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// Guards against wire names of the platform that leak from platform/ into src/ or bench/.
TEST_CASE("wire names of the platform do not occur in src/ or bench/", "[platform][names]")
{
    constexpr std::array Names{ "X-Server-Seal", "X-Attempt-Id",   "X-Expect-Instance", "X-Not-Executed",
                                "X-Api-Key",     "X-Tenant",       "X-Token-Count",     "X-Prompt-Prefix",
                                "X-Length-Hint", "log-append",     "log-newest",        "log-read",
                                "keyed.",        "coldLeftMs",     "targetLatencyMs",   "pathPrefix\"",
                                "maxAttempts",   "apiKeys",        "rolled_back",       "SAPPHIRECOVE_CONFIG",
                                "Server-Limit",  "Server-Leaving", "allowedRegions",    "coldPerS",
                                "coldStartS",    "evacuate/" };
    namespace fs = std::filesystem;
    for (const char *folder : { "src", "bench" }) {
        for (const auto &entry : fs::recursive_directory_iterator(fs::path(SAPPHIRECOVE_SOURCE) / folder)) {
            const std::string path = entry.path().string();
            const auto extension = entry.path().extension();
            if (extension != ".h" && extension != ".cpp") {
                continue;
            }
            std::ifstream file(path);
            const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
            for (const char *name : Names) {
                INFO(path << " names " << name);
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
}
