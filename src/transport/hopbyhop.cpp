#include "transport/hopbyhop.h"

namespace sapphirecove::transport {

bool isHopByHop(boost::beast::http::field name)
{
    using boost::beast::http::field;
    switch (name) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_authenticate:
    case field::proxy_authorization:
    case field::proxy_connection:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
    case field::content_length:
        return true;
    default:
        return false;
    }
}

} // namespace sapphirecove::transport
