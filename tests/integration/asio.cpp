// Compiles Boost.Asio and Boost.Beast once for the integration tests, as BOOST_ASIO_SEPARATE_COMPILATION asks for.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
