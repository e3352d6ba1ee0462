#include "standins/commands.h"
#include "standins/engine.h"

#include <stdexcept>

namespace sapphirecove::standins {

namespace {

struct EngineArguments
{
    std::uint16_t port = 0;
    std::vector<std::uint16_t> ports;
    int count = 1;
    std::vector<double> speeds;
    std::string options = "{}";
};

void runEngines(const EngineArguments &arguments)
{
    EngineOptions options;
    if (auto problem = applyEngineJson(options, parseOrNull(arguments.options)); !problem.empty()) {
        throw std::invalid_argument("--options: " + problem);
    }
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<Engine>> engines;
    for (int index = 0; index < arguments.count; ++index) {
        const auto position = static_cast<std::size_t>(index);
        std::uint16_t port = arguments.port == 0 ? 0 : static_cast<std::uint16_t>(arguments.port + index);
        if (position < arguments.ports.size()) {
            port = arguments.ports[position];
        }
        EngineOptions own = options;
        own.seed += position;
        if (!arguments.speeds.empty()) {
            own.speed *= arguments.speeds[position % arguments.speeds.size()];
        }
        engines.push_back(std::make_unique<Engine>(context, port, own));
    }
    for (const auto &engine : engines) {
        printPort(engine->port());
    }
    runUntilStopped(context);
}

} // namespace

void addEngineCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("engine", "Model engines with continuous batching.");
    auto arguments = std::make_shared<EngineArguments>();
    command->add_option("--port", arguments->port, "Port of the first engine; 0 picks free ports.");
    command->add_option("--ports", arguments->ports, "Port of each engine.")->delimiter(',');
    command->add_option("--count", arguments->count, "Number of engines.")->check(CLI::Range(1, 200));
    command->add_option("--speeds", arguments->speeds, "Speed factors, repeated over the engines.")->delimiter(',');
    command->add_option("--options", arguments->options, "Options as JSON, as POST /standin/options takes them.");
    command->callback([arguments] {
        runEngines(*arguments);
    });
}

} // namespace sapphirecove::standins
