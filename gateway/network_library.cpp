/// \file
/// Compiles the non-header-only parts of Boost.Asio and Boost.Beast once for the program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
