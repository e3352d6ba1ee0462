#include "transport/requestframing.h"

#include <boost/beast/core/string.hpp>

namespace sapphirecove::transport {

bool hasClearFraming(const boost::beast::http::request_header<> &header)
{
    using boost::beast::http::field;
    const std::size_t encodings = header.count(field::transfer_encoding);
    const std::size_t lengths = header.count(field::content_length);
    if (encodings == 0) {
        return lengths <= 1;
    }
    constexpr unsigned http11 = 11;
    return encodings == 1 && lengths == 0 && header.version() == http11
        && boost::beast::iequals(header[field::transfer_encoding], "chunked");
}

} // namespace sapphirecove::transport
