/// An io_context with one thread, for tests and benches.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace buckthornmux::standins {

/// Runs until the end of its scope; declared before what uses it.
struct IoThread {
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  std::thread thread{[this] { io.run(); }};
  IoThread() = default;
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;
  ~IoThread() {
    io.stop();
    thread.join();
  }
};

}  // namespace buckthornmux::standins
