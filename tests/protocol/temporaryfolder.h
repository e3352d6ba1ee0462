#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace sapphirecove::tests {

/** Folder for the files of one test, removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "sapphirecove-test-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        m_path = pattern;
    }

    ~TemporaryFolder()
    {
        std::error_code error;
        std::filesystem::remove_all(m_path, error);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const
    {
        return m_path;
    }

    /** Writes a file and returns its path. */
    std::filesystem::path write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name, std::ios::binary) << text;
        return m_path / name;
    }

private:
    std::filesystem::path m_path;
};

} // namespace sapphirecove::tests
