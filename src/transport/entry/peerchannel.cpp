#include "transport/entry/peerchannel.h"

#include "coordination/entry/shorthash.h"
#include "protocol/peerreportcodec.h"
#include "transport/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
using asio::ip::udp;
using coordination::entry::PeerReport;

namespace {

/** Shortest interval between two reports to a peer of another region, whose link is billed. */
constexpr state::Duration FarInterval = std::chrono::milliseconds(100);

/** Interval of reports without news: three of them fit the time after which a peer counts as silent. */
constexpr state::Duration HeartbeatInterval = std::chrono::milliseconds(350);

/** Interval of reports to a peer that has been silent. */
constexpr state::Duration SilentInterval = std::chrono::milliseconds(1000);

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
            socket.bind(endpoint, error);
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
    , m_deployment(coordination::entry::shortHash(toString(context.settings.store)))
    , m_started(context.now())
{
    std::random_device random;
    m_incarnation = (std::uint64_t{ random() } << 32U) | random();
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
                handle({ m_buffer.data(), size });
            }
            receive();
        });
}

void PeerChannel::handle(std::string_view datagram)
{
    std::optional<PeerReport> report;
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_ASSIGN(report, protocol::decodePeerReport(datagram, m_deployment));
            return {};
        },
        [&](const state::Failure &failure) {
            m_context.metrics.count("peer_reports_rejected_total");
            logFailure("peer_report_rejected", failure);
        });
    if (!report || report->host == m_context.settings.hostId) {
        return;
    }
    const state::Time now = m_context.now();
    auto &scheduler = m_context.scheduler;
    const auto known = scheduler.peers().peers().find(report->host);
    const bool wasLive = known != scheduler.peers().peers().end() && known->second.live;
    if (!scheduler.peers().receive(*report, scheduler.targets(), now)) {
        return;
    }
    scheduler.quotas().peerReported(*report, now);
    if (!wasLive) {
        logEvent("peer_heard", { { "peer", report->host }, { "uptime_ms", std::to_string(report->uptimeMs) } });
    }
    if (scheduler.waiting() > 0) {
        m_context.runDecisions();
    }
}

void PeerChannel::sendDue(state::Time now)
{
    auto &scheduler = m_context.scheduler;
    PeerReport report;
    report.host = m_context.settings.hostId;
    report.address = m_context.settings.address;
    report.failureDomain = m_context.settings.failureDomain;
    report.port = m_context.settings.peerPort;
    report.stopping = m_context.stopping;
    scheduler.fillReport(report, now);
    const std::string content = contentOf(report);
    report.incarnation = m_incarnation;
    report.uptimeMs =
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started).count());
    // The same datagram for all peers that are due: each checks only that the sequence grows.
    report.sequence = ++m_sequence;
    std::string datagram;
    const auto &peers = scheduler.peers().peers();
    std::erase_if(m_links, [&](const auto &entry) {
        return !peers.contains(entry.first);
    });
    for (const auto &[host, peer] : peers) {
        Link &link = m_links[host];
        const bool changed = link.content != content;
        const state::Duration interval = !peer.live ? SilentInterval : changed ? intervalTo(host) : HeartbeatInterval;
        if (now - link.sent < interval) {
            continue;
        }
        if (datagram.empty()) {
            datagram = protocol::encodePeerReport(report, m_deployment);
        }
        boost::system::error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (!error) {
            m_socket.send_to(asio::buffer(datagram), udp::endpoint(address, peer.port), 0, error);
        }
        if (error) {
            m_context.metrics.count("peer_reports_unsent_total");
        }
        link.sent = now;
        link.content = content;
    }
}

/** Returns the part of @p report whose change is news to a peer: not its counters, and not what falls with time alone.
 */
std::string PeerChannel::contentOf(PeerReport report) const
{
    for (auto &share : report.quotas) {
        share.usedInWindow = 0;
    }
    return protocol::encodePeerReport(report, m_deployment);
}

state::Duration PeerChannel::intervalTo(const std::string &host) const
{
    const auto &peerTable = m_context.scheduler.peers();
    const state::Duration usual = peerTable.reportInterval();
    const auto found = peerTable.peers().find(host);
    const auto &settings = m_context.settings;
    if (found == peerTable.peers().end()) {
        return std::max(FarInterval, usual);
    }
    const auto region = settings.regionOfDomain.find(found->second.report.failureDomain);
    const bool near = region != settings.regionOfDomain.end() && region->second == settings.region;
    return near ? usual : std::max(FarInterval, usual);
}

} // namespace sapphirecove::transport::entry
