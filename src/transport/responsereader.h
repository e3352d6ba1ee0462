#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace sapphirecove::transport {

/** Why a server's bytes are not a response, or not a whole one, although the parser accepts them. */
enum class ResponseError {
    InvalidStatus = 1, /**< the status code is not that of a final response */
    FoldedField, /**< a line of the header begins with a blank */
    UnclearEnd, /**< see hasClearFraming() */
    TooManyInformational, /**< more 1xx responses than a server has reason to send */
    MissingBody, /**< the connection ended before a body without a stated length */
    ConnectionFailed, /**< the connection failed in a body that only its end ends */
};

/** Returns the error code of @p error. */
boost::system::error_code toErrorCode(ResponseError error);

/** Returns whether @p error says that a server sent bytes that are not HTTP, in contrast to a part of a response. */
bool isMalformedResponse(const boost::system::error_code &error);

/** Progress of the write of a request. Shared, as the write may outlive whoever reads the response. */
struct RequestWrite
{
    bool ended = false;
    boost::system::error_code error; /**< of a write that has ended */
};

/** Bounds of a response. */
struct ResponseLimits
{
    std::uint32_t headerBytes = 65536;
    std::optional<std::uint64_t> bodyBytes; /**< not bounded by default */
};

/**
 * Reads one response from a connection. All responses of targets, stores and other hosts are read here, so that this
 * class alone says what a valid response is and when it is complete:
 *
 * - The header is HTTP/1.0 or 1.1, its status code is 200 to 599, and its lines are fields with valid names. Lines that
 *   begin with a blank (obs-fold) are rejected, as RFC 9112, section 5.2 allows: others read them as fields.
 * - It is clear where the body ends, see hasClearFraming(). Fields of a trailer are dropped.
 * - A body with a length or in chunks has all its bytes. Any other body ends where the server ends its side of the
 *   connection; a failure of the connection does not end it, also when it was reported to the write of the request.
 *   Such a body of a successful response is not empty, as a connection that ends after the header looks the same.
 *
 * All errors are those of the socket, of Beast's parser, or a ResponseError.
 */
class ResponseReader
{
public:
    using Header = boost::beast::http::response_header<>;

    /**
     * Reads from @p socket, and first what @p buffer holds of it; both outlive the reader. @p request is the write of
     * the request. With @p withoutBody, the request asks for a header only.
     */
    ResponseReader(boost::asio::ip::tcp::socket &socket,
                   boost::beast::flat_buffer &buffer,
                   std::shared_ptr<const RequestWrite> request,
                   bool withoutBody,
                   ResponseLimits limits = {});

    /** Reads the header of the final response; informational (1xx) ones before it are skipped. */
    boost::asio::awaitable<boost::system::error_code> readHeader();

    /** Reads the next bytes of the body into @p space and sets @p size to their number. To be called until complete().
     */
    boost::asio::awaitable<boost::system::error_code> readBody(std::span<char> space, std::size_t &size);

    /** Reads the rest of the body and appends it to @p body. */
    boost::asio::awaitable<boost::system::error_code> readWholeBody(std::string &body);

    /** Returns the header; valid after readHeader(). */
    const Header &header() const
    {
        return m_header;
    }

    /** Returns the length in bytes that the header states; nothing if it states none. */
    std::optional<std::uint64_t> contentLength() const;

    /** Returns whether the whole response was read. */
    bool complete() const
    {
        return m_complete;
    }

    /** Returns whether only the end of the connection ends the body. */
    bool endsWithConnection() const
    {
        return m_parser->need_eof();
    }

    /**
     * Returns whether the connection can carry another request after the response: the request was sent, and nothing
     * has arrived behind the response. Valid while the connection exists.
     */
    bool keepsConnection() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<boost::system::error_code> readOneHeader();
    boost::asio::awaitable<boost::system::error_code> readMore();
    boost::asio::awaitable<boost::system::error_code> checkEndOfConnection();

    boost::asio::ip::tcp::socket &m_socket;
    boost::beast::flat_buffer &m_buffer;
    std::shared_ptr<const RequestWrite> m_request;
    bool m_withoutBody;
    ResponseLimits m_limits;
    std::optional<Parser> m_parser;
    Header m_header;
    bool m_hasBody = false; /**< a byte of the body was read */
    bool m_complete = false;
};

} // namespace sapphirecove::transport
