// Connections that a host opens to one target: bounded, and closed when idle.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "buckthornmux/detail/entry/target_connections.h"
#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kPatience{5000};

/// A target that counts its connections and closes those over its limit.
class CountingTarget {
 public:
  explicit CountingTarget(int limit) : m_limit(limit) {
    asio::co_spawn(m_io, Accept(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~CountingTarget() {
    m_io.stop();
    m_thread.join();
  }
  CountingTarget(const CountingTarget&) = delete;
  CountingTarget& operator=(const CountingTarget&) = delete;

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  [[nodiscard]] int Open() const { return m_open; }
  [[nodiscard]] int Accepted() const { return m_accepted; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      error_code error;
      tcp::socket socket = co_await m_acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      if (m_open < m_limit) {
        ++m_open;
        ++m_accepted;
        asio::co_spawn(m_acceptor.get_executor(), Serve(std::move(socket)),
                       asio::detached);
      }
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::string buffer;
    error_code error;
    while (!error) {
      const std::size_t size = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, error));
      buffer.erase(0, size);
      if (!error) {
        co_await asio::async_write(
            socket, asio::buffer(answer),
            asio::redirect_error(asio::use_awaitable, error));
      }
    }
    --m_open;
  }

  asio::io_context m_io{1};
  tcp::acceptor m_acceptor{m_io, {asio::ip::make_address("127.0.0.1"), 0}};
  int m_limit;
  std::atomic<int> m_open = 0;
  std::atomic<int> m_accepted = 0;
  std::thread m_thread;
};

/// A host with an event loop of its own.
struct SomeHost {
  explicit SomeHost(HttpClientOptions options) : client(io, options) {}

  /// Makes calls at the same time and runs until all have ended.
  /// @return how many were answered
  int Burst(const std::string& address, int calls) {
    int ended = 0;
    int answered = 0;
    for (int i = 0; i < calls; ++i) {
      client.Call(address, {.method = "GET", .target = "/"}, kPatience,
                  [&](const auto& outcome) {
                    ++ended;
                    answered += std::holds_alternative<HttpResponse>(outcome);
                  });
    }
    RunUntil([&] { return ended == calls; });
    return answered;
  }

  template <class Condition>
  bool RunUntil(Condition condition) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_for(Millis(2));
    }
    return condition();
  }

  asio::io_context io;
  HttpClient client;
};

class IdleConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleConnectionsTest);
  CPPUNIT_TEST(OwnersLostInTurnLeaveRoomForTheNext);
  CPPUNIT_TEST(OnlyTheLastConnectionOutlivesABurst);
  CPPUNIT_TEST(IdleConnectionsAreClosed);
  CPPUNIT_TEST(ConnectionInUseStays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against LOST (review/8): the connections of lost owners used up a
  // target's 64, and the next owner could start nothing there any more.
  void OwnersLostInTurnLeaveRoomForTheNext() {
    constexpr int kRoom = 64;
    constexpr int kOwners = 14;
    constexpr int kCalls = 32;
    const CountingTarget target(kRoom);
    std::vector<std::unique_ptr<SomeHost>> owners;
    for (int i = 0; i <= kOwners; ++i) {
      // The former owner doesn't run any more, and closes nothing.
      owners.push_back(
          std::make_unique<SomeHost>(entry::TargetClientOptions(Millis(400))));
      CPPUNIT_ASSERT_EQUAL(kCalls,
                           owners.back()->Burst(target.Address(), kCalls));
    }
  }

  void OnlyTheLastConnectionOutlivesABurst() {
    const CountingTarget target(64);
    SomeHost host(
        {.max_connections_per_peer = 4, .surplus_idle_timeout = Millis(50)});
    CPPUNIT_ASSERT_EQUAL(16, host.Burst(target.Address(), 16));
    CPPUNIT_ASSERT_EQUAL(4, target.Accepted());
    CPPUNIT_ASSERT(host.RunUntil([&] { return target.Open() == 1; }));
    CPPUNIT_ASSERT_EQUAL(1, host.Burst(target.Address(), 1));
    CPPUNIT_ASSERT_EQUAL(4, target.Accepted());
  }

  void IdleConnectionsAreClosed() {
    const CountingTarget target(64);
    SomeHost host({.max_connections_per_peer = 4,
                   .idle_timeout = Millis(100),
                   .surplus_idle_timeout = Millis(20)});
    for (int round = 1; round <= 2; ++round) {
      CPPUNIT_ASSERT_EQUAL(16, host.Burst(target.Address(), 16));
      CPPUNIT_ASSERT(host.RunUntil([&] { return target.Open() == 0; }));
      CPPUNIT_ASSERT_EQUAL(4 * round, target.Accepted());
    }
  }

  void ConnectionInUseStays() {
    const CountingTarget target(64);
    SomeHost host({.max_connections_per_peer = 4,
                   .idle_timeout = kPatience,
                   .surplus_idle_timeout = kPatience});
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, host.Burst(target.Address(), 1));
    }
    CPPUNIT_ASSERT_EQUAL(1, target.Accepted());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionsTest);

}  // namespace
}  // namespace buckthornmux::net
