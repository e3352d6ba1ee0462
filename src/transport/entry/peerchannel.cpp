#include "transport/entry/peerchannel.h"

#include "coordination/entry/shorthash.h"
#include "protocol/peerreportcodec.h"
#include "transport/log.h"
#include "transport/portwait.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
using asio::ip::udp;
using coordination::entry::PeerReport;

namespace {

/** Interval of reports to a candidate decider; three fit into the time until a host counts as unresponsive. */
constexpr state::Duration ReportInterval = std::chrono::milliseconds(300);

/** Largest datagram over IPv4, in bytes. */
constexpr std::size_t MaxDatagram = 65507;

/** Least interval of reports with urgent news, which bounds their cost. */
constexpr state::Duration UrgentReportInterval = std::chrono::milliseconds(75);

} // namespace

state::Result<std::unique_ptr<PeerChannel>> PeerChannel::create(ServingContext &context)
{
    const auto &settings = context.settings;
    const std::string peer = settings.address + ':' + std::to_string(settings.peerPort);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings.address, error);
    udp::socket socket(context.io);
    if (!error) {
        const udp::endpoint endpoint(address, settings.peerPort);
        socket.open(endpoint.protocol(), error);
        if (!error) {
            error = bindWhenFree(peer, PortWait, [&] {
                boost::system::error_code failure;
                socket.bind(endpoint, failure);
                return failure;
            });
        }
        if (!error) {
            socket.non_blocking(true, error);
        }
    }
    if (error) {
        return state::fail("peers.bind", peer, error.message());
    }
    return std::unique_ptr<PeerChannel>(new PeerChannel(context, std::move(socket)));
}

PeerChannel::PeerChannel(ServingContext &context, udp::socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_deploymentHash(coordination::entry::shortHash(toString(context.settings.store)))
    , m_started(context.now())
{
}

void PeerChannel::start()
{
    receive();
}

void PeerChannel::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                handleDatagram({ m_buffer.data(), size });
            }
            receive();
        });
}

void PeerChannel::handleDatagram(std::string_view datagram)
{
    try {
        if (protocol::isDeciderMessage(datagram)) {
            handleMessage(datagram);
        } else {
            handleReport(datagram);
        }
    } catch (const std::exception &exception) {
        // Without this, one datagram could end the process.
        rejectMessage({ "peers.receive", m_sender.address().to_string(), exception.what() });
    }
}

void PeerChannel::rejectMessage(const state::Failure &failure)
{
    m_context.metrics.count("peer_messages_rejected_total");
    logFailure("peer_message_rejected", failure);
}

void PeerChannel::handleReport(std::string_view datagram)
{
    std::optional<PeerReport> report;
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_ASSIGN(report, protocol::decodePeerReport(datagram, m_deploymentHash));
            return {};
        },
        [&](const state::Failure &failure) {
            rejectMessage(failure);
        });
    if (report && report->host != m_context.settings.hostId) {
        applyReport(std::move(*report));
    }
}

void PeerChannel::applyReport(PeerReport report)
{
    const state::Time now = m_context.now();
    auto &scheduler = m_context.scheduler;
    const auto known = scheduler.peers().peers().find(report.host);
    const bool wasLive = known != scheduler.peers().peers().end() && known->second.live;
    if (!scheduler.peers().receive(report, scheduler.targets(), now)) {
        return;
    }
    learnHost(report);
    m_context.announcedVersion = std::max(m_context.announcedVersion, report.configuration);
    m_context.fleet.received(report, now);
    if (!wasLive) {
        logEvent("peer_heard", { { "peer", report.host }, { "uptime_ms", std::to_string(report.uptimeMs) } });
    }
    coordination::entry::ReportReply reportReply = m_context.fleet.reportReplyFor(report, now);
    reportReply.configuration = m_context.table ? m_context.table->version() : 0;
    reportReply.storeEra = m_context.storeEra;
    reportReply.confirmedAge = now - m_context.configurationConfirmed;
    sendReportReply(std::move(reportReply), report.address, report.port);
}

/** Adds the host that sent @p report, or updates its address: a restarted process may have other settings. */
void PeerChannel::learnHost(const PeerReport &report)
{
    auto &directory = m_context.fleet.directory();
    const auto *known = directory.find(report.host);
    if (known != nullptr && known->address == report.address && known->port == report.port) {
        return;
    }
    const auto &regions = m_context.settings.regionOfDomain;
    const auto region = regions.find(report.failureDomain);
    if (region == regions.end()) {
        return;
    }
    if (known != nullptr) {
        logEvent("peer_moved",
                 { { "peer", report.host },
                   { "address", report.address + ':' + std::to_string(report.port) },
                   { "before", known->address + ':' + std::to_string(known->port) } });
    }
    directory.learn({ report.host, report.address, report.port, region->second, report.capacity });
}

/** Sends @p reply, and its evidence about parts of prompts in a message of its own if one datagram has no room for
 * both. */
void PeerChannel::sendReportReply(coordination::entry::ReportReply reply,
                                  const std::string &address,
                                  std::uint16_t port)
{
    const std::string datagram = protocol::encodeDeciderMessage(reply, m_deploymentHash, m_context.now());
    if (datagram.size() <= MaxDatagram || reply.suspects.empty()) {
        sendTo(datagram, address, port);
        return;
    }
    coordination::entry::ReportReply evidence = reply;
    evidence.quotas.clear();
    evidence.statements.clear();
    evidence.evacuations.clear();
    send(evidence, address, port);
    reply.suspects.clear();
    send(reply, address, port);
}

void PeerChannel::handleMessage(std::string_view datagram)
{
    const state::Time now = m_context.now();
    std::optional<protocol::DeciderMessage> message;
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_ASSIGN(message, protocol::decodeDeciderMessage(datagram, m_deploymentHash, now));
            return {};
        },
        [&](const state::Failure &failure) {
            rejectMessage(failure);
        });
    if (!message) {
        return;
    }
    const bool taken = std::visit(
        [&](const auto &content) {
            return m_context.fleet.received(content, now);
        },
        *message);
    if (!taken) {
        m_context.metrics.count("peer_messages_outlived_total");
        logEvent("peer_message_outlived",
                 { { "from", m_sender.address().to_string() }, { "kind", std::to_string(message->index()) } });
        return;
    }
    if (const auto *reportReply = std::get_if<coordination::entry::ReportReply>(&*message)) {
        applyConfirmation(*reportReply);
    }
}

/**
 * Applies the confirmation of the configuration in the reply to a report of this host. Its age counts from before the
 * report, and at the other host from before its own call to the store, so that it is never underestimated.
 */
void PeerChannel::applyConfirmation(const coordination::entry::ReportReply &reportReply)
{
    const std::uint64_t version = m_context.table ? m_context.table->version() : 0;
    m_context.announcedVersion = std::max(m_context.announcedVersion, reportReply.configuration);
    m_context.storeEra = std::max(m_context.storeEra, reportReply.storeEra);
    if (!m_context.table || reportReply.configuration != version) {
        return;
    }
    const state::Time confirmed = state::timeFromMicroseconds(reportReply.reportSentAt) - reportReply.confirmedAge;
    m_context.configurationConfirmed = std::max(m_context.configurationConfirmed, confirmed);
}

void PeerChannel::sendDueReports(state::Time now)
{
    auto &fleet = m_context.fleet;
    std::string datagram;
    m_urgent = fleet.takeUrgentReport() || m_urgent;
    const state::Duration interval = m_urgent ? UrgentReportInterval : ReportInterval;
    bool postponed = false;
    for (const auto *host : fleet.directory().reportRecipients(now)) {
        state::Time &sent = m_lastReportSent[host->name];
        if (now - sent < interval) {
            postponed = true;
            continue;
        }
        if (datagram.empty()) {
            PeerReport report;
            report.host = m_context.settings.hostId;
            report.address = m_context.settings.address;
            report.failureDomain = m_context.settings.failureDomain;
            report.port = m_context.settings.peerPort;
            report.capacity = static_cast<float>(m_context.settings.capacity);
            report.stopping = m_context.stopping;
            report.configuration = m_context.table ? m_context.table->version() : 0;
            report.incarnation = fleet.self().incarnation;
            report.reportSentAt = state::toMicroseconds(now);
            report.uptimeMs = static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started).count());
            // All hosts that are due get the same datagram; each checks only that the sequence number grows.
            report.sequence = ++m_sequence;
            fleet.fillReport(report, now);
            datagram = protocol::encodePeerReport(report, m_deploymentHash);
            if (datagram.size() > MaxDatagram && !report.suspects.empty()) {
                // Deciders get most evidence from each other; the load is what only this host knows.
                m_context.metrics.count("evidence_unsent_total");
                logEvent("evidence_not_sent", { { "bytes", std::to_string(datagram.size()) } });
                report.suspects.clear();
                datagram = protocol::encodePeerReport(report, m_deploymentHash);
            }
        }
        boost::system::error_code error;
        const auto address = asio::ip::make_address(host->address, error);
        if (!error) {
            sendTo(datagram, udp::endpoint(address, host->port));
        }
        fleet.directory().reportSent(host->name, now);
        sent = now;
    }
    m_urgent = m_urgent && postponed;
}

void PeerChannel::send(const protocol::DeciderMessage &message, const std::string &address, std::uint16_t port)
{
    sendTo(protocol::encodeDeciderMessage(message, m_deploymentHash, m_context.now()), address, port);
}

void PeerChannel::sendTo(const std::string &datagram, const std::string &address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        rejectMessage({ "peers.send", address, error.message() });
        return;
    }
    sendTo(datagram, udp::endpoint(ip, port));
}

void PeerChannel::sendTo(const std::string &datagram, const udp::endpoint &to)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(datagram), to, 0, error);
    m_context.metrics.count(error ? "peer_messages_unsent_total" : "peer_messages_sent_total");
}

} // namespace sapphirecove::transport::entry
