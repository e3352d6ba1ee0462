#pragma once

#include "coordination/entry/fleetscheduler.h"
#include "coordination/entry/peerreport.h"
#include "protocol/decidercodec.h"
#include "state/failure.h"
#include "state/time.h"
#include "transport/entry/servingcontext.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sapphirecove::transport::entry {

/**
 * Messages between the hosts over UDP. Each host reports what it runs to the hosts that may decide for it; they reply,
 * and decide about single requests. Each report holds the complete state, so that the next one makes up for a lost one.
 */
class PeerChannel
{
public:
    /** Binds the UDP port of @p context's settings; fails if it cannot be used. */
    static state::Result<std::unique_ptr<PeerChannel>> create(ServingContext &context);

    /** Starts to receive. */
    void start();

    /** Sends a report to each host whose next report is due. */
    void sendDueReports(state::Time now);

    /** Sends @p message to the host at @p address. */
    void send(const protocol::DeciderMessage &message, const std::string &address, std::uint16_t port);

private:
    PeerChannel(ServingContext &context, boost::asio::ip::udp::socket socket);

    void receive();
    void handleDatagram(std::string_view datagram);
    void handleReport(std::string_view datagram);
    void handleMessage(std::string_view datagram);
    void applyReport(coordination::entry::PeerReport report);
    void learnHost(const coordination::entry::PeerReport &report);
    void applyConfirmation(const coordination::entry::ReportReply &reportReply);
    void rejectMessage(const state::Failure &failure);
    void sendReportReply(coordination::entry::ReportReply reply, const std::string &address, std::uint16_t port);
    void sendTo(const std::string &datagram, const std::string &address, std::uint16_t port);
    void sendTo(const std::string &datagram, const boost::asio::ip::udp::endpoint &to);

    ServingContext &m_context;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer;
    std::map<std::string, state::Time, std::less<>> m_lastReportSent; /**< time of the last report to each host */
    std::uint32_t m_deploymentHash;
    std::uint32_t m_sequence = 0;
    bool m_urgent = false; /**< urgent news have yet to be reported to some host */
    state::Time m_started;
};

} // namespace sapphirecove::transport::entry
