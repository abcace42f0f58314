// Peer messages and links over loopback.
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "buckthornmux/detail/peer/peer_links.h"
#include "standins/io_thread.h"

namespace buckthornmux::peer {
namespace {

namespace asio = boost::asio;
constexpr std::chrono::seconds kPatience{5};

using standins::IoThread;

/// Collects what one host's links report.
struct Inbox {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Message> messages;
  std::vector<Heartbeat> heartbeats;
  std::vector<bool> links;

  PeerEvents Events() {
    return {.message =
                [this](const HostId&, Message message) {
                  Note([&] { messages.push_back(std::move(message)); });
                },
            .link = [this](const HostId&,
                           bool up) { Note([&] { links.push_back(up); }); },
            .heartbeat =
                [this](Heartbeat heartbeat) {
                  Note([&] { heartbeats.push_back(std::move(heartbeat)); });
                }};
  }

  template <class F>
  void Note(F f) {
    const std::scoped_lock lock(mutex);
    f();
    changed.notify_all();
  }

  template <class Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, kPatience, condition);
  }
};

/// Returns an address that no other process uses, nor another test here: of
/// this process's part of the loopback network, with a port that isn't given to
/// outgoing connections.
std::string FreeAddress() {
  constexpr int kPort = 20'000;
  constexpr int kByte = 256;
  constexpr int kParts = 100;  ///< 127.100.x.x to 127.199.x.x.
  static int number = 0;
  const int process = getpid();
  ++number;
  CPPUNIT_ASSERT(number < kByte);
  return "127." + std::to_string(kParts + process / kByte % kParts) + '.' +
         std::to_string(process % kByte) + '.' + std::to_string(number) + ':' +
         std::to_string(kPort);
}

class PeerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTest);
  CPPUNIT_TEST(MessageSurvivesCodec);
  CPPUNIT_TEST(RefusesForeignBytes);
  CPPUNIT_TEST(SendsBothWays);
  CPPUNIT_TEST(SilentLinkGoesDown);
  CPPUNIT_TEST(UnansweredPingIsADelay);
  CPPUNIT_TEST(ProbeBringsASignAndReconnectANewLink);
  CPPUNIT_TEST(ClockOfAPeerIsNeverAhead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessageSurvivesCodec() {
    home::JobRequest request;
    request.id = "r1";
    request.demand.memory_mb = 17;
    request.labels = {"gpu"};
    request.expected_run = Millis(5);
    const auto outcome = Capture([&] {
      return DecodeMessage(Encode(Message(CallSubmit{7, request})));
    });
    const auto& back = std::get<CallSubmit>(std::get<Message>(outcome));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, back.call);
    CPPUNIT_ASSERT(back.request.demand == request.demand);
    CPPUNIT_ASSERT(back.request.labels == request.labels);
  }

  void RefusesForeignBytes() {
    const std::string whole = Encode(Message(CallGone{7}));
    for (const std::string& bytes :
         {std::string("nonsense"), whole + "x",
          whole.substr(0, whole.size() - 1), std::string()}) {
      const auto outcome = Capture([&] { return DecodeMessage(bytes); });
      CPPUNIT_ASSERT(std::get<Error>(outcome).kind == ErrorKind::kMalformed);
    }
  }

  void SendsBothWays() {
    Inbox inbox_a;
    Inbox inbox_b;
    IoThread io;
    const std::string address_a = FreeAddress();
    const std::string address_b = FreeAddress();
    PeerLinks a(io.io, {.self = "a", .listen = address_a}, inbox_a.Events());
    PeerLinks b(io.io, {.self = "b", .listen = address_b}, inbox_b.Events());
    CPPUNIT_ASSERT(!a.Send("b", CallGone{1}));
    const std::vector<PeerAddress> peers{{"a", address_a}, {"b", address_b}};
    a.SetPeers(peers);
    b.SetPeers(peers);
    CPPUNIT_ASSERT(inbox_a.WaitFor([&] { return !inbox_a.links.empty(); }));
    for (std::uint64_t i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(a.Send("b", CallGone{i}));
    }
    CPPUNIT_ASSERT(
        inbox_b.WaitFor([&] { return inbox_b.messages.size() == 100; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{99},
                         std::get<CallGone>(inbox_b.messages.back()).call);
    a.SendHeartbeat({.host = "a", .sequence = 3});
    CPPUNIT_ASSERT(
        inbox_b.WaitFor([&] { return !inbox_b.heartbeats.empty(); }));
  }

  /// A peer that accepts but never answers a Ping is reported down.
  void SilentLinkGoesDown() {
    Inbox inbox;
    IoThread io;
    asio::ip::tcp::acceptor silent(io.io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    PeerLinks links(io.io,
                    {.self = "a",
                     .listen = FreeAddress(),
                     .ping_every = Millis(20),
                     .silent_after = Millis(100)},
                    inbox.Events());
    const std::vector<PeerAddress> peers{
        {"b", "127.0.0.1:" + std::to_string(silent.local_endpoint().port())}};
    links.SetPeers(peers);
    CPPUNIT_ASSERT(inbox.WaitFor([&] {
      return inbox.links.size() >= 2 && inbox.links[0] && !inbox.links[1];
    }));
  }

  // An owner did not notice that the answers to its pings came late.
  void UnansweredPingIsADelay() {
    Inbox inbox;
    IoThread io;
    asio::ip::tcp::acceptor silent(io.io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    net::Traffic traffic;
    PeerLinks links(io.io,
                    {.self = "a",
                     .listen = FreeAddress(),
                     .ping_every = Millis(60'000),
                     .silent_after = Millis(120'000),
                     .traffic = &traffic},
                    inbox.Events());
    const std::vector<PeerAddress> peers{
        {"b", "127.0.0.1:" + std::to_string(silent.local_endpoint().port())}};
    links.SetPeers(peers);
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return !inbox.links.empty(); }));
    CPPUNIT_ASSERT(links.Send("b", CallGone{1}));
    constexpr Millis kDelay{60};
    std::this_thread::sleep_for(kDelay);
    std::promise<std::vector<Millis>> measured;
    asio::post(io.io, [&] { measured.set_value(links.Delays()); });
    const std::vector<Millis> delays = measured.get_future().get();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delays.size());
    // The ping that is sent once the link is up is not answered.
    CPPUNIT_ASSERT(delays[0] >= kDelay / 2);
    CPPUNIT_ASSERT(traffic.sent > 0);
  }

  void ProbeBringsASignAndReconnectANewLink() {
    Inbox inbox;
    Inbox other;
    int signs = 0;
    IoThread io;
    const std::string address = FreeAddress();
    // Pings of their own are far apart.
    PeerEvents events = inbox.Events();
    events.pong = [&](const HostId&, Millis) { inbox.Note([&] { ++signs; }); };
    PeerLinks a(io.io,
                {.self = "a",
                 .listen = FreeAddress(),
                 .ping_every = Millis(60'000),
                 .silent_after = Millis(120'000),
                 .reconnect_pause = Millis(10)},
                events);
    const PeerLinks b(io.io, {.self = "b", .listen = address}, other.Events());
    const std::vector<PeerAddress> peers{{"b", address}};
    a.SetPeers(peers);
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return inbox.links.size() == 1; }));
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return signs == 1; }));  // At the start.
    a.Probe("b");
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return signs == 2; }));
    a.Reconnect("b");
    CPPUNIT_ASSERT(inbox.WaitFor([&] {
      return inbox.links.size() == 3 && !inbox.links[1] && inbox.links[2];
    }));
  }

  // Guards against a call that looks fresher than it is to its receiver.
  void ClockOfAPeerIsNeverAhead() {
    Inbox inbox;
    Inbox other;
    int signs = 0;
    std::atomic<int> here_ms = 1'000'000;
    std::atomic<int> there_ms = 5000;
    IoThread io;
    const std::string address = FreeAddress();
    PeerEvents events = inbox.Events();
    events.pong = [&](const HostId&, Millis) { inbox.Note([&] { ++signs; }); };
    PeerLinks a(io.io,
                {.self = "a",
                 .listen = FreeAddress(),
                 .ping_every = Millis(60'000),
                 .silent_after = Millis(120'000),
                 .reconnect_pause = Millis(10),
                 .clock = [&] { return Time(Millis(here_ms)); }},
                events);
    const PeerLinks b(io.io,
                      {.self = "b",
                       .listen = address,
                       .clock = [&] { return Time(Millis(there_ms)); }},
                      other.Events());
    CPPUNIT_ASSERT(!a.ClockOf("b"));
    const std::vector<PeerAddress> peers{{"b", address}};
    a.SetPeers(peers);
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return signs == 1; }));
    const auto clock = [&a] {
      return a.ClockOf("b").value().time_since_epoch().count();
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4999}, clock());
    here_ms += 1000;
    there_ms += 980;  // The slowest clock that is allowed for.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5979}, clock());
    // A reading that was held up doesn't replace a better one.
    there_ms -= 500;
    a.Probe("b");
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return signs == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5979}, clock());
    // A new connection may lead to another process.
    there_ms = 70;
    a.Reconnect("b");
    CPPUNIT_ASSERT(inbox.WaitFor([&] { return signs == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{69}, clock());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);

}  // namespace
}  // namespace buckthornmux::peer
