#include "transport/messageframing.h"

#include <boost/beast/core/string.hpp>

namespace sapphirecove::transport {

template <bool IsRequest>
bool hasClearFraming(const boost::beast::http::header<IsRequest> &header)
{
    using boost::beast::http::field;
    const std::size_t encodings = header.count(field::transfer_encoding);
    const std::size_t lengths = header.count(field::content_length);
    if (encodings == 0) {
        const auto length = header[field::content_length];
        return lengths == 0 || (lengths == 1 && length.find_first_not_of("0123456789") == length.npos);
    }
    constexpr unsigned http11 = 11;
    return encodings == 1 && lengths == 0 && header.version() == http11
        && boost::beast::iequals(header[field::transfer_encoding], "chunked");
}

template bool hasClearFraming(const boost::beast::http::header<true> &header);
template bool hasClearFraming(const boost::beast::http::header<false> &header);

} // namespace sapphirecove::transport
