#include "tests/integration/standin.h"

#include <stdexcept>

namespace sapphirecove::integration {

namespace json = boost::json;

namespace {

std::vector<std::string> commandLine(const std::string &kind, const std::vector<std::string> &arguments)
{
    std::vector<std::string> line{ programPath("sapphirecove-standins"), kind, "--port", "0" };
    line.insert(line.end(), arguments.begin(), arguments.end());
    return line;
}

std::string processName(const std::string &kind)
{
    static int number = 0;
    return "standin-" + kind + "-" + std::to_string(++number);
}

} // namespace

Standin::Standin(const TempFolder &folder,
                 const std::string &kind,
                 const std::vector<std::string> &arguments,
                 std::size_t count)
    : m_process(folder, processName(kind), commandLine(kind, arguments))
    , m_ports(m_process.readPorts(count))
{
}

void Standin::setOptions(const json::value &options, std::size_t index) const
{
    control("POST", "/standin/options", json::serialize(options), index);
}

json::value
Standin::control(const std::string &method, const std::string &path, const std::string &body, std::size_t index) const
{
    const auto response = call({ port(index), method, path, body, {} });
    if (response.status != 200) {
        throw std::runtime_error(m_process.name() + " rejected " + path + ": " + response.body);
    }
    return response.json();
}

std::vector<StandinRecord> Standin::records() const
{
    std::vector<StandinRecord> records;
    for (std::size_t index = 0; index < m_ports.size(); ++index) {
        const auto response = control("GET", "/standin/records", {}, index);
        for (const auto &record : response.at("records").as_array()) {
            records.push_back({ textField(record, "request_id"),
                                textField(record, "idempotency_key"),
                                textField(record, "path"),
                                textField(record, "body_hash"),
                                textField(record, "state"),
                                textField(record, "version"),
                                record.at("received_us").as_int64(),
                                m_ports[index] });
        }
    }
    return records;
}

} // namespace sapphirecove::integration
