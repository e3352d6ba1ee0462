#pragma once

#include <boost/endian/conversion.hpp>

#include <array>
#include <bit>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace sapphirecove::protocol {

/** Serializes big-endian numbers and strings; strings are truncated to 255 bytes. */
class BinaryWriter
{
public:
    template <std::unsigned_integral T>
    void number(T value)
    {
        std::array<unsigned char, sizeof(T)> bytes;
        boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(bytes.data(), value);
        m_bytes.append(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    }

    void flag(bool value)
    {
        number(static_cast<std::uint8_t>(value ? 1 : 0));
    }

    void signedNumber(std::int64_t value)
    {
        number(static_cast<std::uint64_t>(value));
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

/** Reads what BinaryWriter wrote. Numbers read past the end are 0, and failed() returns true from then on. */
class BinaryReader
{
public:
    explicit BinaryReader(std::string_view bytes)
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

    void flag(bool &value)
    {
        std::uint8_t byte = 0;
        number(byte);
        value = byte != 0;
    }

    /** Reads a time or duration in microseconds. */
    void signedNumber(std::int64_t &value)
    {
        std::uint64_t bits = 0;
        number(bits);
        value = static_cast<std::int64_t>(bits);
        m_failed = m_failed || value > MaxMicroseconds || value < -MaxMicroseconds;
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

    /** Marks the bytes as malformed. */
    void fail()
    {
        m_failed = true;
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
    /** 200 years. Sums of such times and durations cannot overflow. */
    static constexpr std::int64_t MaxMicroseconds = 6'311'520'000'000'000;

    std::string_view m_bytes;
    bool m_failed = false;
};

/** Visits the fields of a QuotaShare in wire order, for both BinaryWriter and BinaryReader. */
template <typename Codec, typename Share>
void visitQuota(Codec &codec, Share &share)
{
    codec.number(share.customer);
    codec.real(share.admitted);
    codec.real(share.usedInWindow);
}

/** Visits the fields of a StatementShare in wire order, for both BinaryWriter and BinaryReader. */
template <typename Codec, typename Share>
void visitStatement(Codec &codec, Share &share)
{
    codec.number(share.target);
    codec.real(share.requestsPerSecond);
    codec.number(share.revision);
    codec.flag(share.ended);
    codec.number(share.ageMs);
    codec.flag(share.leaving);
    codec.number(share.leavingAgeMs);
}

/** Visits the fields of an EvacuationShare in wire order, for both BinaryWriter and BinaryReader. */
template <typename Codec, typename Share>
void visitEvacuation(Codec &codec, Share &share)
{
    codec.text(share.domain);
    codec.flag(share.evacuated);
    codec.number(share.era);
    codec.number(share.offset);
}

} // namespace sapphirecove::protocol
