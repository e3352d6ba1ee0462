#include "protocol/peerreportcodec.h"

#include <boost/endian/conversion.hpp>

#include <array>
#include <bit>
#include <cmath>
#include <concepts>
#include <type_traits>
#include <utility>

namespace sapphirecove::protocol {

namespace {

using coordination::entry::PeerReport;
using coordination::entry::QuotaShare;
using coordination::entry::TargetShare;
using coordination::entry::VersionShare;
using coordination::entry::WaitingShare;

/** First bytes of each report; the last one is the version of the format. */
constexpr std::uint32_t Magic = 0x53435201;

/** Appends big-endian numbers and short strings. */
class Writer
{
public:
    template <std::unsigned_integral T>
    void number(T value)
    {
        std::array<unsigned char, sizeof(T)> bytes;
        boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(bytes.data(), value);
        m_bytes.append(bytes.begin(), bytes.end());
    }

    void real(float value)
    {
        number(std::bit_cast<std::uint32_t>(value));
    }

    void real(double value)
    {
        number(std::bit_cast<std::uint64_t>(value));
    }

    void text(std::string_view value)
    {
        value = value.substr(0, 255);
        number(static_cast<std::uint8_t>(value.size()));
        m_bytes += value;
    }

    std::string take()
    {
        return std::move(m_bytes);
    }

private:
    std::string m_bytes;
};

/** Reads what Writer wrote; after the end every read yields zero and failed() holds. */
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    template <std::unsigned_integral T>
    void number(T &value)
    {
        value = 0;
        if (m_bytes.size() < sizeof(T)) {
            m_failed = true;
            return;
        }
        value = boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(
            reinterpret_cast<const unsigned char *>(m_bytes.data()));
        m_bytes.remove_prefix(sizeof(T));
    }

    void real(float &value)
    {
        std::uint32_t bits = 0;
        number(bits);
        value = std::bit_cast<float>(bits);
        m_failed = m_failed || !std::isfinite(value);
    }

    void real(double &value)
    {
        std::uint64_t bits = 0;
        number(bits);
        value = std::bit_cast<double>(bits);
        m_failed = m_failed || !std::isfinite(value);
    }

    void text(std::string &value)
    {
        std::uint8_t length = 0;
        number(length);
        if (m_bytes.size() < length) {
            m_failed = true;
            return;
        }
        value = m_bytes.substr(0, length);
        m_bytes.remove_prefix(length);
    }

    bool failed() const
    {
        return m_failed;
    }

    bool atEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::string_view m_bytes;
    bool m_failed = false;
};

// Each visit function names the fields of one struct in wire order; Writer and Reader both run it.

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, TargetShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.target);
    codec.number(share.running);
    codec.number(share.promptTokens);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, WaitingShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.service);
    codec.real(share.rank);
    codec.number(share.count);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, QuotaShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.customer);
    codec.real(share.admitted);
    codec.real(share.usedInWindow);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, VersionShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.service);
    codec.number(share.version);
    codec.number(share.route);
    codec.number(share.dispatched);
    codec.number(share.good);
    codec.number(share.bad);
    codec.real(share.latencyRatioSum);
}

template <typename Share>
void writeList(Writer &writer, const std::vector<Share> &shares)
{
    writer.number(static_cast<std::uint16_t>(shares.size()));
    for (const Share &share : shares) {
        visit(writer, share);
    }
}

template <typename Share>
void readList(Reader &reader, std::vector<Share> &shares)
{
    std::uint16_t count = 0;
    reader.number(count);
    for (std::uint16_t i = 0; i < count && !reader.failed(); ++i) {
        visit(reader, shares.emplace_back());
    }
}

template <typename Codec, typename Report>
void visitHead(Codec &codec, Report &report)
{
    codec.text(report.host);
    codec.text(report.address);
    codec.text(report.failureDomain);
    codec.number(report.port);
    codec.number(report.incarnation);
    codec.number(report.sequence);
    codec.number(report.uptimeMs);
}

} // namespace

std::string encodePeerReport(const PeerReport &report, std::uint32_t deployment)
{
    Writer writer;
    writer.number(Magic);
    writer.number(deployment);
    visitHead(writer, report);
    writer.number(static_cast<std::uint8_t>(report.stopping ? 1 : 0));
    writeList(writer, report.targets);
    writeList(writer, report.waiting);
    writeList(writer, report.quotas);
    writeList(writer, report.versions);
    return writer.take();
}

state::Result<PeerReport> decodePeerReport(std::string_view datagram, std::uint32_t deployment)
{
    constexpr std::string_view step = "peerreport.decode";
    Reader reader(datagram);
    std::uint32_t magic = 0;
    std::uint32_t sender = 0;
    reader.number(magic);
    reader.number(sender);
    if (reader.failed() || magic != Magic || sender != deployment) {
        return state::fail(step, "", "not a report of this deployment");
    }
    PeerReport report;
    visitHead(reader, report);
    std::uint8_t stopping = 0;
    reader.number(stopping);
    report.stopping = stopping != 0;
    readList(reader, report.targets);
    readList(reader, report.waiting);
    readList(reader, report.quotas);
    readList(reader, report.versions);
    if (reader.failed() || !reader.atEnd()) {
        return state::fail(step, report.host, "truncated or with extra bytes");
    }
    return report;
}

} // namespace sapphirecove::protocol
