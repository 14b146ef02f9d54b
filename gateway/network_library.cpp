/// \file
/// Compiles Boost.Asio and Boost.Beast once for the whole program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
