#include "transport/boundedread.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Largest buffer that a connection keeps while it is idle or its request is served. */
constexpr std::size_t IdleBufferBytes = 4096;

/** Reads one piece, whose bytes count against @p share. */
asio::awaitable<boost::system::error_code>
readPiece(tcp::socket &socket, boost::beast::flat_buffer &buffer, BoundedParser &parser, ByteBudget::Share &share)
{
    boost::system::error_code error;
    co_await http::async_read_some(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (!share.resize(keptBytes(parser, buffer))) {
        error = asio::error::no_buffer_space;
    }
    co_return error;
}

} // namespace

void limitUnparsed(boost::beast::flat_buffer &buffer, std::size_t headerBytes)
{
    buffer.max_size(std::max(headerBytes + ReadPieceBytes, buffer.size()));
}

void shrinkIdle(boost::beast::flat_buffer &buffer)
{
    if (buffer.size() == 0 && buffer.capacity() > IdleBufferBytes) {
        buffer.shrink_to_fit();
    }
}

std::size_t keptBytes(const BoundedParser &parser, const boost::beast::flat_buffer &buffer)
{
    std::size_t bytes = buffer.capacity() + parser.get().body().size();
    if (parser.is_header_done()) {
        bytes += parser.get().target().size();
        for (const auto &field : parser.get()) {
            bytes += field.name_string().size() + field.value().size();
        }
    }
    return bytes;
}

asio::awaitable<boost::system::error_code>
readHeader(tcp::socket &socket, boost::beast::flat_buffer &buffer, BoundedParser &parser, ByteBudget::Share &share)
{
    boost::system::error_code error;
    while (!error && !parser.is_header_done()) {
        error = co_await readPiece(socket, buffer, parser, share);
    }
    co_return error;
}

asio::awaitable<boost::system::error_code>
readRest(tcp::socket &socket, boost::beast::flat_buffer &buffer, BoundedParser &parser, ByteBudget::Share &share)
{
    boost::system::error_code error;
    while (!error && !parser.is_done()) {
        error = co_await readPiece(socket, buffer, parser, share);
    }
    co_return error;
}

} // namespace sapphirecove::transport
