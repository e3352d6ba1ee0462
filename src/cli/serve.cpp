#include "cli/commands.h"

#include "protocol/settingsreader.h"
#include "state/buildid.h"
#include "transport/host.h"
#include "transport/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace sapphirecove::cli {

namespace {

/** Event loop that waits for SIGTERM or SIGINT and then drains the host. */
class SignalLoop
{
public:
    explicit SignalLoop(transport::Host &host)
        : m_host(host)
        , m_signals(m_context, SIGTERM, SIGINT)
    {
    }

    /** Returns when the host has drained after a first signal; a second signal ends the process at once. */
    void run()
    {
        m_signals.async_wait([this](const boost::system::error_code &, int) {
            startDrain();
        });
        m_context.run();
    }

private:
    void startDrain()
    {
        transport::logEvent("drain_requested", {});
        m_signals.async_wait([](const boost::system::error_code &error, int) {
            if (!error) {
                std::_Exit(static_cast<int>(ExitCode::Failed));
            }
        });
        m_host.drain([this] {
            boost::asio::post(m_context, [this] {
                m_context.stop();
            });
        });
    }

    transport::Host &m_host;
    boost::asio::io_context m_context{ 1 };
    boost::asio::signal_set m_signals;
};

/** Runs a host with the classes of src/coordination, configured by a settings file of this project. */
class Serve final : public Command
{
public:
    explicit Serve(transport::CoordinatorFactory factory)
        : m_factory(std::move(factory))
    {
    }

    CLI::App *declare(CLI::App &root) override
    {
        CLI::App *command = root.add_subcommand("serve", "Run an entry host");
        command->add_option("--settings", m_file, "settings file")->required();
        return command;
    }

    ExitCode run() override
    {
        return state::handleFailure(
            [&]() -> state::Result<ExitCode> {
                BOOST_LEAF_AUTO(settings, protocol::loadSettings(m_file));
                transport::HostKeys keys;
                BOOST_LEAF_ASSIGN(keys.operators, protocol::loadKey(settings.keys.operatorsFile));
                BOOST_LEAF_ASSIGN(keys.fleet, protocol::loadKey(settings.keys.fleetFile));
                if (auto log = transport::initializeLog(settings.log); !log) {
                    return log.error();
                }
                return serve(settings, keys);
            },
            [](const state::Failure &failure) {
                std::cerr << "sapphirecove: " << describe(failure) << '\n';
                return ExitCode::Problems;
            });
    }

private:
    ExitCode serve(const protocol::Settings &settings, const transport::HostKeys &keys)
    {
        auto host = state::handleFailure(
            [&] {
                return transport::Host::create(settings, keys, m_factory);
            },
            [](const state::Failure &failure) {
                std::cerr << "sapphirecove: " << describe(failure) << '\n';
                return std::unique_ptr<transport::Host>();
            });
        if (!host) {
            return ExitCode::Failed;
        }
        SignalLoop loop(*host);
        host->start();
        transport::logEvent("started",
                            { { "host", settings.host.id },
                              { "commit", std::string(state::buildCommit()) },
                              { "sources", std::string(state::buildSources()) } });
        loop.run();
        host->stop();
        transport::logEvent("stopped", { { "host", settings.host.id } });
        return ExitCode::Success;
    }

    transport::CoordinatorFactory m_factory;
    std::string m_file;
};

} // namespace

std::unique_ptr<Command> createServe(transport::CoordinatorFactory factory)
{
    return std::make_unique<Serve>(std::move(factory));
}

} // namespace sapphirecove::cli
