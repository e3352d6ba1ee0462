#pragma once

#include "transport/bytebudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>

namespace sapphirecove::transport {

using BoundedParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/** Bytes that a connection may keep unparsed beyond the largest header, so that the pieces of a body have room. */
constexpr std::size_t ReadPieceBytes = std::size_t{ 16 } * 1024;

/**
 * Limits what @p buffer keeps to a header of @p headerBytes and a piece of a body. What a parser keeps while it waits
 * for an end, such as trailers, extensions of chunks and long lines, counts against it.
 */
void limitUnparsed(boost::beast::flat_buffer &buffer, std::size_t headerBytes);

/** Frees what an empty @p buffer keeps beyond a few kilobytes; thousands of connections may be idle or served. */
void shrinkIdle(boost::beast::flat_buffer &buffer);

/** Returns the bytes that the message of @p parser and @p buffer keep in memory. */
std::size_t keptBytes(const BoundedParser &parser, const boost::beast::flat_buffer &buffer);

/**
 * Reads from @p socket until @p parser has the header. What is kept counts against @p share; if the share is given up,
 * the result is boost::asio::error::no_buffer_space. Fails with http::error::buffer_overflow where @p buffer is full.
 */
boost::asio::awaitable<boost::system::error_code> readHeader(boost::asio::ip::tcp::socket &socket,
                                                             boost::beast::flat_buffer &buffer,
                                                             BoundedParser &parser,
                                                             ByteBudget::Share &share);

/** Reads the rest of the message, as readHeader() does. */
boost::asio::awaitable<boost::system::error_code> readRest(boost::asio::ip::tcp::socket &socket,
                                                           boost::beast::flat_buffer &buffer,
                                                           BoundedParser &parser,
                                                           ByteBudget::Share &share);

} // namespace sapphirecove::transport
