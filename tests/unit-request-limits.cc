// Bounds on the input of clients, peers and called processes.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/net/http_server.h"
#include "standins/io_thread.h"

namespace buckthornmux::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using standins::IoThread;

constexpr std::uint64_t kTotal = 800'000;
constexpr std::uint64_t kBody = 50'000;

/// A server whose callers with authorization are known; "/no" is refused.
struct Server {
  IoThread io;
  std::shared_ptr<RequestBudget> budget = std::make_shared<RequestBudget>();
  std::atomic<int> handled = 0;
  std::string limit;  ///< Last limit that was exceeded; of the I/O thread.
  std::unique_ptr<HttpServer> server;

  Server() {
    budget->limits = LimitsOf(kTotal);
    HttpServerOptions options;
    options.budget = budget;
    options.max_connections = 20;
    options.decide_head = [](const HttpRequest& head) {
      HeadDecision decision;
      decision.known_caller = !head.authorization.empty();
      decision.max_body_bytes = kBody;
      if (head.target == "/no") {
        decision.refusal = HttpResponse{.status = 401};
      }
      return decision;
    };
    options.over_limit = [this](std::string_view name) { limit = name; };
    server = std::make_unique<HttpServer>(
        io.io, options, [this](HttpRequest request, const Responder& respond) {
          ++handled;
          respond({.body = std::to_string(request.body.size())});
        });
  }

  tcp::socket Connect() {
    tcp::socket socket(io.io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server->Port()});
    return socket;
  }

  /// Sends a request and returns all that arrives until the connection closes.
  std::string Send(const std::string& bytes) {
    tcp::socket socket = Connect();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  /// Calls a function on the server's thread.
  template <class Function>
  auto OnThread(Function function) {
    std::packaged_task<decltype(function())()> task(function);
    auto result = task.get_future();
    asio::post(io.io, [&task] { task(); });
    return result.get();
  }

  BudgetUse Use() {
    return OnThread([this] { return budget->use; });
  }

  /// Waits until connections that were closed have returned their bytes.
  bool BudgetReturned() {
    for (int i = 0; i < 400; ++i) {
      const BudgetUse use = Use();
      if (use.total == 0 && use.unknown == 0) {
        return true;
      }
      std::this_thread::sleep_for(Millis(5));
    }
    return false;
  }
};

std::string Request(const std::string& path, std::size_t announced,
                    std::size_t sent, const std::string& more = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + more +
         "Content-Length: " + std::to_string(announced) + "\r\n\r\n" +
         std::string(sent, 'x');
}

constexpr const char* kKnown = "Authorization: Bearer k\r\n";
constexpr const char* kClose = "Connection: close\r\n";

class RequestLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLimitsTest);
  CPPUNIT_TEST(SharesNeverExceedTheBudgetAndReturn);
  CPPUNIT_TEST(HeadIsRefusedBeforeTheBody);
  CPPUNIT_TEST(RefusalOfASmallBodyKeepsTheConnection);
  CPPUNIT_TEST(LimitsAreNamed);
  CPPUNIT_TEST(BudgetIsReturnedByEveryEndOfARequest);
  CPPUNIT_TEST(UnknownCallersLeaveRoomForKnownOnes);
  CPPUNIT_TEST(IdleConnectionYieldsToANewOne);
  CPPUNIT_TEST(AnswersBeyondTheBoundsFailTheCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against sums beyond a limit, and against bytes that leak.
  void SharesNeverExceedTheBudgetAndReturn() {
    const bool held = rc::check([] {
      auto budget = std::make_shared<RequestBudget>();
      budget->limits = LimitsOf(*rc::gen::inRange<std::uint64_t>(0, kTotal));
      std::vector<std::unique_ptr<BudgetShare>> shares(8);
      const auto steps = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 1 << 20));
      for (const std::uint64_t step : steps) {
        auto& share = shares[step % shares.size()];
        if (!share) {
          share = std::make_unique<BudgetShare>(budget, step % 2 == 0);
        } else if (step % 5 == 0) {
          share.reset();
        } else if (step % 7 == 0) {
          static_cast<void>(share->SetKnown(step % 3 == 0));
        } else {
          static_cast<void>(share->Resize(step / 4));
        }
        RC_ASSERT(budget->use.total <= budget->limits.total);
        RC_ASSERT(budget->use.unknown <= budget->limits.unknown);
      }
      shares.clear();
      RC_ASSERT(budget->use.total == 0U);
      RC_ASSERT(budget->use.unknown == 0U);
    });
    CPPUNIT_ASSERT(held);
  }

  /// Guards against waiting for a body that is of no use.
  void HeadIsRefusedBeforeTheBody() {
    Server server;
    CPPUNIT_ASSERT(server.Send(Request("/no", 40'000'000, 10)).find(" 401 ") !=
                   std::string::npos);
    CPPUNIT_ASSERT(server.Send(Request("/", kBody + 1, 10)).find(" 413 ") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, server.handled.load());
  }

  /// Guards against a reconnect for each refusal, which costs more than it.
  void RefusalOfASmallBodyKeepsTheConnection() {
    Server server;
    const std::string answers =
        server.Send(Request("/no", 9000, 9000) + Request("/", 7, 7, kClose));
    CPPUNIT_ASSERT(answers.find(" 401 ") != std::string::npos);
    CPPUNIT_ASSERT(answers.ends_with("\r\n\r\n7"));
  }

  /// Guards against an input that no limit, or another one, stops.
  void LimitsAreNamed() {
    Server server;
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string long_line(20'000, 'a');
    std::string fields;
    std::string extensions;
    for (int i = 0; i < 200; ++i) {
      fields += "a: b\r\n";
      extensions += "1;" + long_line.substr(0, 4000) + "\r\nx\r\n";
    }
    const std::pair<std::string, std::string> cases[] = {
        {head + "T: " + long_line, "header_bytes"},
        {head + fields + "\r\n", "header_fields"},
        {chunked + "0\r\nT: " + long_line, "framing_bytes"},
        {chunked + "1;a=" + long_line, "framing_bytes"},
        {chunked + extensions, "framing_bytes"},
        {chunked + "ffffff\r\n" + long_line, "body_bytes"},
        {Request("/", kBody + 1, 0), "body_bytes"}};
    for (const auto& [bytes, limit] : cases) {
      CPPUNIT_ASSERT(server.Send(bytes).find(" 413 ") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(limit,
                           server.OnThread([&] { return server.limit; }));
    }
    CPPUNIT_ASSERT(server.BudgetReturned());
  }

  /// Guards against a budget that leaks until it refuses all requests.
  void BudgetIsReturnedByEveryEndOfARequest() {
    Server server;
    server.Send(Request("/", kBody, kBody, kClose));
    server.Send(Request("/", kBody + 1, kBody));
    server.Send(Request("/no", kBody, kBody, kClose));
    server.Send("nonsense\r\n\r\n" + std::string(9000, 'x'));
    for (const std::string key : {"", kKnown}) {
      tcp::socket socket = server.Connect();
      asio::write(socket, asio::buffer(Request("/", kBody, kBody - 1, key)));
      while (server.Use().total < kBody) {
        std::this_thread::sleep_for(Millis(1));
      }
    }
    CPPUNIT_ASSERT(server.BudgetReturned());
    CPPUNIT_ASSERT_EQUAL(1, server.handled.load());
  }

  /// Guards against callers without a key that keep others from being served.
  void UnknownCallersLeaveRoomForKnownOnes() {
    Server server;
    std::vector<tcp::socket> slow;
    for (int i = 0; i < 5; ++i) {
      slow.push_back(server.Connect());
      asio::write(slow.back(), asio::buffer(Request("/", kBody, 10)));
    }
    while (server.Use().unknown < kBody) {
      std::this_thread::sleep_for(Millis(1));
    }
    const std::string refused = server.Send(Request("/", kBody, kBody, kClose));
    CPPUNIT_ASSERT(refused.find(" 503 ") != std::string::npos);
    CPPUNIT_ASSERT(refused.find("Retry-After: 1") != std::string::npos);
    CPPUNIT_ASSERT(refused.find(R"("ran":"no")") != std::string::npos);
    CPPUNIT_ASSERT(
        server.Send(Request("/", kBody, kBody, std::string(kKnown) + kClose))
            .ends_with("50000"));
  }

  /// Guards against idle connections that keep new callers out.
  void IdleConnectionYieldsToANewOne() {
    Server server;
    constexpr std::size_t kIdle = 25;
    std::vector<tcp::socket> idle;
    idle.reserve(kIdle);
    for (std::size_t i = 0; i < kIdle; ++i) {
      idle.push_back(server.Connect());
    }
    CPPUNIT_ASSERT(server.Send(Request("/", 3, 3, kClose)).ends_with("3"));
  }

  /// Guards against a called process whose answer takes all memory.
  void AnswersBeyondTheBoundsFailTheCall() {
    constexpr int kMaxBlocks = 32;  // Of 1 MB; sockets hold under 16.
    const std::string block(1 << 20, 'a');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& begin :
         {chunked + "0\r\nT: ", chunked + "1;a=", head + "T: ",
          head + "Content-Length: 600001\r\n\r\n"}) {
      IoThread io;
      tcp::acceptor acceptor(io.io, {asio::ip::make_address("127.0.0.1"), 0});
      int blocks = 0;
      std::thread peer([&] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        std::string request(4096, '\0');
        socket.read_some(asio::buffer(request), error);
        asio::write(socket, asio::buffer(begin), error);
        for (; !error && blocks < kMaxBlocks; ++blocks) {
          asio::write(socket, asio::buffer(block), error);
        }
      });
      HttpClientOptions options;
      options.budget = std::make_shared<RequestBudget>();
      options.budget->limits = LimitsOf(kTotal);
      HttpClient client(io.io, options);
      const auto outcome = client.CallAndWait(
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {},
          Millis(60'000));
      peer.join();
      const auto* error = std::get_if<Error>(&outcome);
      CPPUNIT_ASSERT(error != nullptr);
      CPPUNIT_ASSERT(error->kind == ErrorKind::kOutcomeUnknown);
      CPPUNIT_ASSERT(blocks < kMaxBlocks);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);

}  // namespace
}  // namespace buckthornmux::net
