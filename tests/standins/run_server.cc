#include "standins/run_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace buckthornmux::standins {

void RunUntilSignal(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
}

}  // namespace buckthornmux::standins
