/// Runs a stand-in's io_context until SIGTERM or SIGINT.
#pragma once

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// @brief Runs the context on this thread until a signal to end.
void RunUntilSignal(boost::asio::io_context& io);

}  // namespace buckthornmux::standins
