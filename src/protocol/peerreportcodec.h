#pragma once

#include "coordination/entry/peerreport.h"
#include "state/failure.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Largest size of a report in bytes; fits a datagram on common links, with headroom for reassembly. */
constexpr std::size_t MaxPeerReportBytes = 32768;

/**
 * Encodes @p report in a compact binary form, since hosts exchange reports many times a second and pay for the traffic
 * between failure domains. @p deployment lets receivers reject reports of other deployments.
 */
std::string encodePeerReport(const coordination::entry::PeerReport &report, std::uint32_t deployment);

/** Decodes a datagram; fails if it is malformed or of another deployment. */
state::Result<coordination::entry::PeerReport> decodePeerReport(std::string_view datagram, std::uint32_t deployment);

} // namespace sapphirecove::protocol
