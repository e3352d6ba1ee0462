#include "standins/commands.h"
#include "standins/logservice.h"

#include <stdexcept>

namespace sapphirecove::standins {

namespace {

struct LogArguments
{
    std::uint16_t port = 0;
    std::string options = "{}";
};

void runLog(const LogArguments &arguments)
{
    LogOptions options;
    if (auto problem = applyJson(options, parseOrNull(arguments.options)); !problem.empty()) {
        throw std::invalid_argument("--options: " + problem);
    }
    boost::asio::io_context context(1);
    const LogService log(context, arguments.port, options);
    printPort(log.port());
    runUntilStopped(context);
}

} // namespace

void addLogCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("log", "Append-only log with offsets.");
    auto arguments = std::make_shared<LogArguments>();
    command->add_option("--port", arguments->port, "Port; 0 picks a free one.");
    command->add_option("--options", arguments->options, "Options as JSON, as POST /standin/options takes them.");
    command->callback([arguments] {
        runLog(*arguments);
    });
}

} // namespace sapphirecove::standins
