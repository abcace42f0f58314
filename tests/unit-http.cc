// HTTP server and client over loopback: limits, time-outs and unresponsive
// connections.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/net/http_server.h"
#include "standins/io_thread.h"

namespace buckthornmux::net {
namespace {

namespace asio = boost::asio;

constexpr Millis kCallTimeout{2000};

using standins::IoThread;

std::string AddressOf(const HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.Port());
}

/// Sends raw bytes and returns everything received until the connection closes.
std::string SendRaw(std::uint16_t port, const std::string& bytes) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  boost::system::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(EchoesBody);
  CPPUNIT_TEST(RefusesOversizedMalformedAndSlow);
  CPPUNIT_TEST(DistinguishesUnsentFromUnknown);
  CPPUNIT_TEST(UnresponsiveConnectionsAreClosed);
  CPPUNIT_TEST(QueueTimeCountsTowardsTheTimeout);
  CPPUNIT_TEST(NothingIsSentAfterSendBy);
  CPPUNIT_TEST(SendByIsOnTheClientsClock);
  CPPUNIT_TEST(NothingIsSentOnAConnectionThatIsTooNew);
  CPPUNIT_TEST(NewConnectionIsCheckedBeforeTheRequest);
  CPPUNIT_TEST(ConnectionIsTooNewByTheClockOfTheCaller);
  CPPUNIT_TEST(AnswerKeepsRetryAfterAndClosingIsUnknown);
  CPPUNIT_TEST(LongAnswerTakesFewTurnsOfTheLoop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EchoesBody() {
    IoThread io;
    HttpServer server(io.io, {}, [](HttpRequest request, Responder respond) {
      respond({.body = request.method + request.target + request.body});
    });
    HttpClient client(io.io, {});
    const auto outcome = client.CallAndWait(
        AddressOf(server), {.method = "POST", .target = "/x", .body = "abc"},
        kCallTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("POST/xabc"),
                         std::get<HttpResponse>(outcome).body);
  }

  // Guards against an owner that reads the list of its targets for seconds,
  // since each turn of its busy loop reads a small part (review/11).
  void LongAnswerTakesFewTurnsOfTheLoop() {
    constexpr std::size_t kListBytes = 340'000;  // Assumed for 540 targets.
    // A list may be 1,700 ms old; 25 ms are assumed for a turn of a busy loop.
    constexpr std::size_t kMaxTurns = 1700 / 25;
    IoThread far;
    HttpServer server(far.io, {}, [](HttpRequest, Responder respond) {
      respond({.body = std::string(kListBytes, 'x')});
    });
    asio::io_context io;
    HttpClient client(io, {});
    std::size_t received = 0;
    client.Call(AddressOf(server), {}, kCallTimeout, [&](auto outcome) {
      const auto* answer = std::get_if<HttpResponse>(&outcome);
      received = answer == nullptr ? 1 : answer->body.size();
    });
    std::size_t turns = 0;
    // The answer arrives faster than a busy loop reads it.
    while (received == 0 && io.run_one_for(kCallTimeout) > 0) {
      std::this_thread::sleep_for(Millis(1));
      ++turns;
    }
    CPPUNIT_ASSERT_EQUAL(kListBytes, received);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(turns), turns <= kMaxTurns);
  }

  void RefusesOversizedMalformedAndSlow() {
    IoThread io;
    HttpServerOptions options;
    options.max_body_bytes = 100;
    options.read_timeout = Millis(100);
    HttpServer server(io.io, options, [](HttpRequest, Responder respond) {
      respond({.body = "never"});
    });
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    CPPUNIT_ASSERT(SendRaw(server.Port(), head + "Content-Length: 200\r\n\r\n")
                       .find("too_large") != std::string::npos);
    CPPUNIT_ASSERT(
        SendRaw(server.Port(), "nonsense\r\n\r\n").find("malformed") !=
        std::string::npos);
    CPPUNIT_ASSERT(SendRaw(server.Port(), head + "Content-Length: 9\r\n\r\nab")
                       .find("too_slow") != std::string::npos);
  }

  void DistinguishesUnsentFromUnknown() {
    IoThread io;
    HttpServer server(io.io, {}, [](HttpRequest, const Responder&) {});
    HttpClient client(io.io, {});
    const auto unsent = client.CallAndWait("127.0.0.1:1", {}, kCallTimeout);
    CPPUNIT_ASSERT(std::get<Error>(unsent).kind == ErrorKind::kPeerUnreachable);
    const auto unknown = client.CallAndWait(AddressOf(server), {}, Millis(100));
    CPPUNIT_ASSERT(std::get<Error>(unknown).kind == ErrorKind::kOutcomeUnknown);
  }

  /// A peer no longer responds on open connections but does on new ones. After
  /// one time-out the next call must succeed.
  void UnresponsiveConnectionsAreClosed() {
    IoThread io;
    asio::ip::tcp::acceptor acceptor(io.io,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    std::thread peer([&] {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      auto first = acceptor.accept();
      std::string buffer(4096, '\0');
      first.read_some(asio::buffer(buffer));
      asio::write(first, asio::buffer(answer));
      // The first connection stays open, but gets no further answer.
      auto second = acceptor.accept();
      second.read_some(asio::buffer(buffer));
      asio::write(second, asio::buffer(answer));
    });
    HttpClient client(io.io, {});
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto first = client.CallAndWait(address, {}, kCallTimeout);
    const auto silent = client.CallAndWait(address, {}, Millis(100));
    const auto renewed = client.CallAndWait(address, {}, kCallTimeout);
    peer.join();
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(first));
    CPPUNIT_ASSERT(std::holds_alternative<Error>(silent));
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(renewed));
  }

  /// A call queued behind hanging calls ends at its own time-out and is not
  /// sent.
  void QueueTimeCountsTowardsTheTimeout() {
    IoThread io;
    HttpServer server(io.io, {}, [](HttpRequest, const Responder&) {});
    HttpClientOptions options;
    options.max_connections_per_peer = 1;
    HttpClient client(io.io, options);
    const std::string address = AddressOf(server);
    client.Call(address, {}, kCallTimeout, [](const auto&) {});
    const auto began = std::chrono::steady_clock::now();
    const auto behind = client.CallAndWait(address, {}, Millis(100));
    CPPUNIT_ASSERT(std::get<Error>(behind).kind == ErrorKind::kPeerUnreachable);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < kCallTimeout / 2);
  }

  void NothingIsSentAfterSendBy() {
    IoThread io;
    int received = 0;
    HttpServer server(io.io, {}, [&](const HttpRequest&, const Responder& r) {
      ++received;
      r({});
    });
    HttpClient client(io.io, {});
    HttpRequest late;
    late.send_by =
        std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now()) -
        Millis(1);
    const auto unsent =
        client.CallAndWait(AddressOf(server), late, kCallTimeout);
    CPPUNIT_ASSERT(std::get<Error>(unsent).kind == ErrorKind::kPeerUnreachable);
    const auto sent = client.CallAndWait(AddressOf(server), {}, kCallTimeout);
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(sent));
    CPPUNIT_ASSERT_EQUAL(1, received);
  }

  // Guards against a request that is sent after a suspension, which the steady
  // clock doesn't count.
  void SendByIsOnTheClientsClock() {
    IoThread io;
    std::atomic<int> received = 0;
    HttpServer server(io.io, {}, [&](const HttpRequest&, const Responder& r) {
      ++received;
      r({});
    });
    const Time ahead =
        std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now()) +
        Millis(60'000);
    net::HttpClientOptions options;
    options.clock = [ahead] { return ahead; };
    HttpClient client(io.io, options);
    std::atomic<int> sent = 0;
    HttpRequest late;
    late.on_send = [&sent] { ++sent; };
    late.send_by = ahead - Millis(1);
    const auto unsent =
        client.CallAndWait(AddressOf(server), late, kCallTimeout);
    CPPUNIT_ASSERT(std::holds_alternative<Error>(unsent));
    CPPUNIT_ASSERT_EQUAL(0, sent.load());
    late.send_by = ahead;
    const auto answer =
        client.CallAndWait(AddressOf(server), late, kCallTimeout);
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(answer));
    CPPUNIT_ASSERT_EQUAL(1, sent.load());
    CPPUNIT_ASSERT_EQUAL(1, received.load());
  }

  // Guards against a call for one process that reaches the next one at the same
  // address.
  void NothingIsSentOnAConnectionThatIsTooNew() {
    IoThread io;
    std::atomic<int> received = 0;
    auto server = std::make_unique<HttpServer>(
        io.io, HttpServerOptions(), [&](HttpRequest, Responder respond) {
          ++received;
          respond({.body = "ok"});
        });
    HttpClient client(io.io, {});
    const auto now = [] {
      return std::chrono::time_point_cast<Millis>(
          std::chrono::steady_clock::now());
    };
    const auto succeeds = [&](Time connected_by) {
      HttpRequest request;
      request.connected_by = connected_by;
      return std::holds_alternative<HttpResponse>(client.CallAndWait(
          AddressOf(*server), std::move(request), kCallTimeout));
    };
    CPPUNIT_ASSERT(!succeeds(now()));
    CPPUNIT_ASSERT(succeeds(Time::max()));
    CPPUNIT_ASSERT(!succeeds(now() - kCallTimeout));
    CPPUNIT_ASSERT(succeeds(now() + Millis(1)));
    CPPUNIT_ASSERT_EQUAL(2, received.load());
  }

  // Guards against connections that count as old because the caller's clock is
  // ahead of the steady one, as it is once a machine was suspended.
  void ConnectionIsTooNewByTheClockOfTheCaller() {
    const auto clock = [] {
      constexpr Millis kSuspended{100'000};
      return std::chrono::time_point_cast<Millis>(
                 std::chrono::steady_clock::now()) +
             kSuspended;
    };
    IoThread io;
    HttpServer server(io.io, {}, [](const HttpRequest&, const Responder& r) {
      r({.body = "ok"});
    });
    HttpClientOptions options;
    options.clock = clock;
    HttpClient client(io.io, options);
    const Time before = clock();
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(
        client.CallAndWait(AddressOf(server), {}, kCallTimeout)));
    HttpRequest request;
    request.connected_by = before;
    CPPUNIT_ASSERT(std::holds_alternative<Error>(
        client.CallAndWait(AddressOf(server), request, kCallTimeout)));
    request.connected_by = clock() + Millis(2);
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(
        client.CallAndWait(AddressOf(server), request, kCallTimeout)));
  }

  // Guards against a request for one process that reaches the next one on a
  // connection opened for it.
  void NewConnectionIsCheckedBeforeTheRequest() {
    IoThread io;
    std::mutex mutex;
    std::vector<std::string> received;
    HttpServer server(io.io, {}, [&](HttpRequest request, Responder respond) {
      const std::lock_guard lock(mutex);
      received.push_back(request.target);
      respond({.body = "process 1"});
    });
    HttpClient client(io.io, {});
    const auto call = [&](const std::string& process) {
      auto check = std::make_shared<ConnectionCheck>();
      check->process = process;
      check->call.target = "/check";
      check->accepts = [process](const HttpResponse& response) {
        return response.body == process;
      };
      HttpRequest request;
      request.target = "/order";
      request.connected_by = Time();
      request.check = check;
      return client.CallAndWait(AddressOf(server), std::move(request),
                                kCallTimeout);
    };
    const auto other = call("process 2");
    CPPUNIT_ASSERT(std::get<Error>(other).kind == ErrorKind::kPeerUnreachable);
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(call("process 1")));
    CPPUNIT_ASSERT(std::holds_alternative<HttpResponse>(call("process 1")));
    const std::lock_guard lock(mutex);
    const std::vector<std::string> expected{"/check", "/check", "/order",
                                            "/order"};
    CPPUNIT_ASSERT(received == expected);
  }

  void AnswerKeepsRetryAfterAndClosingIsUnknown() {
    IoThread io;
    HttpServer server(io.io, {},
                      [](const HttpRequest& request, const Responder& respond) {
                        HttpResponse response;
                        response.status = request.target == "/close" ? 0 : 503;
                        response.retry_after = Millis(1500);
                        respond(response);
                      });
    HttpClient client(io.io, {});
    const auto later = client.CallAndWait(AddressOf(server), {}, kCallTimeout);
    CPPUNIT_ASSERT(std::get<HttpResponse>(later).retry_after == Millis(2000));
    const auto closed = client.CallAndWait(AddressOf(server),
                                           {.target = "/close"}, kCallTimeout);
    CPPUNIT_ASSERT(std::get<Error>(closed).kind == ErrorKind::kOutcomeUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace buckthornmux::net
