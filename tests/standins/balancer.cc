#include "standins/balancer.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "buckthornmux/detail/net/address.h"
#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kCopyBytes = std::size_t{16} * 1024;

tcp::endpoint Endpoint(const std::string& text) {
  const net::Address address = net::ParseAddress(text).value();
  return {address.ip, address.port};
}

struct Backend {
  std::string address;
  tcp::endpoint endpoint;
  bool ready = false;
};

using SocketPtr = std::shared_ptr<tcp::socket>;
using Counter = std::shared_ptr<std::atomic<std::uint64_t>>;

/// One direction of a connection: copies until one side ends, then closes both.
struct Copier : std::enable_shared_from_this<Copier> {
  Copier(SocketPtr source, SocketPtr sink, Counter counter)
      : from(std::move(source)),
        to(std::move(sink)),
        copied(std::move(counter)) {}

  void Read() {
    from->async_read_some(
        asio::buffer(bytes),
        [self = shared_from_this()](error_code error, std::size_t count) {
          error ? self->Close() : self->Write(count);
        });
  }

  void Write(std::size_t count) {
    *copied += count;
    asio::async_write(
        *to, asio::buffer(bytes, count),
        [self = shared_from_this()](error_code error, std::size_t) {
          error ? self->Close() : self->Read();
        });
  }

  void Close() {
    error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  SocketPtr from;
  SocketPtr to;
  Counter copied;
  std::array<char, kCopyBytes> bytes{};
};

}  // namespace

struct Balancer::Impl : std::enable_shared_from_this<Balancer::Impl> {
  Impl(asio::io_context& context, const BalancerOptions& options)
      : io(context),
        acceptor(context, Endpoint(options.listen)),
        timer(context),
        client(context, {}),
        poll_every(options.poll_every) {
    for (const std::string& address : options.backends) {
      backends.push_back({address, Endpoint(address)});
    }
  }

  void Poll() {
    for (std::size_t i = 0; i < backends.size(); ++i) {
      client.Call(backends[i].address, {.target = "/readyz"}, poll_every,
                  [weak = weak_from_this(),
                   i](const Outcome<net::HttpResponse>& outcome) {
                    const auto* answer =
                        std::get_if<net::HttpResponse>(&outcome);
                    if (const auto self = weak.lock()) {
                      self->backends[i].ready =
                          answer != nullptr && answer->status == 200;
                    }
                  });
    }
    timer.expires_after(poll_every);
    timer.async_wait([weak = weak_from_this()](error_code error) {
      const auto self = weak.lock();
      if (!error && self) {
        self->Poll();
      }
    });
  }

  /// The next back end in turn; one that is not ready only where none is.
  const Backend& NextBackend() {
    for (std::size_t i = 0; i < backends.size(); ++i) {
      const Backend& backend = backends[next++ % backends.size()];
      if (backend.ready) {
        return backend;
      }
    }
    return backends[next++ % backends.size()];
  }

  void Accept() {
    auto caller = std::make_shared<tcp::socket>(io);
    acceptor.async_accept(*caller,
                          [weak = weak_from_this(), caller](error_code error) {
                            const auto self = weak.lock();
                            if (!error && self) {
                              self->Connect(caller);
                              self->Accept();
                            }
                          });
  }

  /// Where the back end can't be reached, the caller's connection just closes.
  void Connect(const SocketPtr& caller) {
    auto backend = std::make_shared<tcp::socket>(io);
    backend->async_connect(
        NextBackend().endpoint,
        [caller, backend, counter = copied](error_code error) {
          if (!error) {
            caller->set_option(tcp::no_delay(true), error);
            backend->set_option(tcp::no_delay(true), error);
            std::make_shared<Copier>(caller, backend, counter)->Read();
            std::make_shared<Copier>(backend, caller, counter)->Read();
          }
        });
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  asio::steady_timer timer;
  net::HttpClient client;
  Millis poll_every;
  std::vector<Backend> backends;
  std::size_t next = 0;
  Counter copied = std::make_shared<std::atomic<std::uint64_t>>(0);
};

Balancer::Balancer(asio::io_context& io, const BalancerOptions& options)
    : m_impl(std::make_shared<Impl>(io, options)) {
  m_impl->Accept();
  m_impl->Poll();
}

Balancer::~Balancer() = default;

std::string Balancer::Address() const {
  return "127.0.0.1:" +
         std::to_string(m_impl->acceptor.local_endpoint().port());
}

std::uint64_t Balancer::BytesCopied() const { return *m_impl->copied; }

}  // namespace buckthornmux::standins
