#include "transport/deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace sapphirecove::transport {

namespace zlib = boost::beast::zlib;

namespace {

/** Output buffer size of one decompression step, in bytes. */
constexpr std::size_t InflateChunkBytes = 65536;

} // namespace

std::string deflate(std::string_view text)
{
    zlib::deflate_stream stream;
    std::string result(stream.upper_bound(text.size()), '\0');
    zlib::z_params params;
    params.next_in = text.data();
    params.avail_in = text.size();
    params.next_out = result.data();
    params.avail_out = result.size();
    boost::system::error_code end; // Only reports the end of the input: upper_bound() makes the buffer large enough.
    stream.write(params, zlib::Flush::finish, end);
    result.resize(params.total_out);
    return result;
}

std::optional<std::string> inflate(std::string_view bytes, std::size_t maxBytes)
{
    zlib::inflate_stream stream;
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    std::string result;
    boost::system::error_code error;
    while (error != zlib::error::end_of_stream) {
        const std::size_t before = result.size();
        if (before > maxBytes) {
            return std::nullopt;
        }
        result.resize(before + InflateChunkBytes);
        params.next_out = result.data() + before;
        params.avail_out = InflateChunkBytes;
        stream.write(params, zlib::Flush::sync, error);
        const std::size_t written = InflateChunkBytes - params.avail_out;
        result.resize(before + written);
        if ((error && error != zlib::error::end_of_stream) || (!error && written == 0)) {
            return std::nullopt;
        }
    }
    return result;
}

} // namespace sapphirecove::transport
