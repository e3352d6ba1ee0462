// Tests of what names the build, and of build folders that were kept while the sources were replaced.
#include "tests/integration/entryfleet.h"
#include "tests/integration/process.h"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace sapphirecove::integration;

namespace {

const std::string Source = SAPPHIRECOVE_SOURCE;

/** Project of one source whose program prints a text. */
class Project
{
public:
    /** @p generator names the build tool, as for cmake. */
    explicit Project(std::string generator)
        : m_generator(std::move(generator))
    {
        m_folder.write("CMakeLists.txt",
                       "cmake_minimum_required(VERSION 3.25)\nproject(probe LANGUAGES CXX)\ninclude(" + Source
                           + "/cmake/carriedoverbuild.cmake)\nset(program ${CMAKE_BINARY_DIR}/bin/probe)\n"
                             "remove_carried_over_objects(${CMAKE_SOURCE_DIR} ${program})\n"
                             "add_executable(probe src/main.cpp)\nset_target_properties(probe PROPERTIES "
                             "RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)\n");
    }

    /** Replaces the source by one that prints @p text and is a day old. */
    void unpack(const std::string &text)
    {
        m_folder.write("src/main.cpp", "#include <cstdio>\nint main() { std::puts(\"" + text + "\"); }\n");
        std::filesystem::last_write_time(m_folder / "src/main.cpp",
                                         std::filesystem::file_time_type::clock::now() - std::chrono::hours(24));
    }

    /** Changes what the build folder says of the machine that it was filled on. */
    void moveToOtherMachine()
    {
        const std::string before = m_folder.read("build/sources.txt");
        m_folder.write("build/sources.txt", "Other machine" + before.substr(before.find('\n')));
    }

    /** Builds, and returns what cmake prints about the build folder. */
    std::string build()
    {
        const std::string folder = (m_folder / "build").string();
        const auto configured =
            runCommand(m_folder,
                       "configure",
                       { SAPPHIRECOVE_CMAKE, "-S", (m_folder / "").string(), "-B", folder, "-G", m_generator });
        REQUIRE(configured.exitCode == 0);
        const auto built = runCommand(m_folder, "build-output", { SAPPHIRECOVE_CMAKE, "--build", folder });
        INFO(built.output << built.errors);
        REQUIRE(built.exitCode == 0);
        return configured.output;
    }

    std::string run()
    {
        return runCommand(m_folder, "probe", { (m_folder / "build/bin/probe").string() }).output;
    }

private:
    std::string m_generator;
    TempFolder m_folder;
};

/** Returns the text between @p begin and the next quote in @p text. */
std::string quotedAfter(const std::string &text, const std::string &begin)
{
    const std::size_t at = text.find(begin);
    REQUIRE(at != std::string::npos);
    const std::size_t first = text.find('"', at) + 1;
    return text.substr(first, text.find('"', first) - first);
}

} // namespace

// Guards against runs of another build than the one that was meant, which no log tells apart.
TEST_CASE("the program and its first log line name the sources that it was built from", "[build]")
{
    const TempFolder folder;
    const std::string output = (folder / "buildid.cpp").string();
    REQUIRE(runCommand(folder,
                       "writebuildid",
                       { SAPPHIRECOVE_CMAKE,
                         "-DROOT=" + Source,
                         "-DOUTPUT=" + output,
                         "-P",
                         Source + "/cmake/writebuildid.cmake" })
                .exitCode
            == 0);
    const std::string sources = quotedAfter(folder.read("buildid.cpp"), "buildSources()");
    const auto version = runCommand(folder, "version", { programPath("sapphirecove"), "--version" });
    CHECK(version.exitCode == 0);
    CHECK(version.output.find("sources " + sources + ')') != std::string::npos);
    CHECK(version.output.find("(commit ") != std::string::npos);
    StoreStub store({});
    EntryFleet fleet(store, 1);
    fleet.start(0);
    CHECK(waitFor([&] {
        return fleet.output(0).find("sources=" + sources) != std::string::npos;
    }));
}

// Guards against a program of the sources before (review/6): a copy that is unpacked over them may be older than the
// objects.
TEST_CASE("a build folder that was kept holds no objects of other sources", "[build]")
{
    const std::string generator = GENERATE("Unix Makefiles", "Ninja");
    CAPTURE(generator);
    Project project(generator);
    project.unpack("first");
    project.build();
    REQUIRE(project.run() == "first\n");
    project.unpack("second");
    CHECK(project.build().find("Removing all objects: src/main.cpp") != std::string::npos);
    CHECK(project.run() == "second\n");
    CHECK(project.build().find("Removing") == std::string::npos);
    project.moveToOtherMachine();
    CHECK(project.build().find("Removing all objects: they were built on Other machine") != std::string::npos);
    CHECK(project.run() == "second\n");
}
