// Compiles Boost.Asio and Boost.Beast once for the load generator, as BOOST_ASIO_SEPARATE_COMPILATION requires.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
