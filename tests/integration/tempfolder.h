#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <cstdlib>

namespace sapphirecove::integration {

/** Temporary folder, removed by the destructor unless the environment variable SAPPHIRECOVE_KEEP_FILES is set. */
class TempFolder
{
public:
    TempFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "sapphirecove-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        m_path = name;
    }
    ~TempFolder()
    {
        if (std::getenv("SAPPHIRECOVE_KEEP_FILES") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    TempFolder(const TempFolder &) = delete;
    TempFolder &operator=(const TempFolder &) = delete;

    std::filesystem::path operator/(const std::string &name) const
    {
        return m_path / name;
    }

    /** Writes a file, and creates its parent folders. */
    void write(const std::string &name, const std::string &text) const
    {
        std::filesystem::create_directories((m_path / name).parent_path());
        std::ofstream(m_path / name) << text;
    }

    /** Returns the text of a file, or an empty string if there is none. */
    std::string read(const std::string &name) const
    {
        std::ostringstream text;
        text << std::ifstream(m_path / name).rdbuf();
        return text.str();
    }

private:
    std::filesystem::path m_path;
};

} // namespace sapphirecove::integration
