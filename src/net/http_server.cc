#include "buckthornmux/detail/net/http_server.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "buckthornmux/detail/net/address.h"

namespace buckthornmux::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
constexpr Millis kAcceptRetryDelay{50};

/// Passes the answer from any thread to the coroutine of the connection.
struct PendingAnswer {
  explicit PendingAnswer(const asio::any_io_executor& executor)
      : timer(executor) {
    timer.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer timer;
  std::optional<HttpResponse> response;
};

/// State of the read time-out. The timer's handler shares it, because the
/// handler may run after the read has ended.
struct ReadTimeoutState {
  bool read_ended = false;
  bool timed_out = false;
};

HttpResponse ErrorResponse(ErrorKind kind) {
  const ErrorAnswer& answer = AnswerFor(kind);
  HttpResponse response;
  response.status = answer.http_status;
  response.body = R"({"error":")" + std::string(answer.name) + R"(","ran":")" +
                  std::string(RanName(answer.ran)) + R"("})";
  response.retry_after = answer.retry_after;
  return response;
}

std::optional<ErrorKind> ErrorKindOf(const error_code& error) {
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return ErrorKind::kTooLarge;
  }
  if (error.category() == make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return ErrorKind::kMalformed;
  }
  return std::nullopt;
}

http::response<http::string_body> ToBeast(HttpResponse response,
                                          unsigned version, bool keep_alive) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), version);
  message.set(http::field::content_type, response.content_type);
  if (response.retry_after > Millis(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(response.retry_after);
    message.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& context, HttpServerOptions server_options,
       Handler request_handler)
      : io(context),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        acceptor(context) {}

  void Listen() {
    const auto outcome =
        Capture([this] { return ParseAddress(options.address); });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      throw boost::system::system_error(asio::error::invalid_argument,
                                        error->message);
    }
    const auto& address = std::get<Address>(outcome);
    const tcp::endpoint endpoint(address.ip, address.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    port = acceptor.local_endpoint().port();
  }

  asio::awaitable<void> Accept() {
    while (!draining) {
      error_code error;
      tcp::socket socket(io);
      co_await acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, error));
      if (draining || error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        asio::steady_timer pause(io, kAcceptRetryDelay);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      if (connections >= options.max_connections) {
        continue;  // The destructor closes the socket.
      }
      socket.set_option(tcp::no_delay(true), error);
      asio::co_spawn(io, Serve(shared_from_this(), std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<HttpResponse> Answer(HttpRequest request) {
    auto pending = std::make_shared<PendingAnswer>(io.get_executor());
    handler(std::move(request), [pending, this](HttpResponse response) {
      asio::post(io, [pending, response = std::move(response)]() mutable {
        pending->response = std::move(response);
        pending->timer.cancel();
      });
    });
    while (!pending->response) {
      error_code ignored;
      co_await pending->timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(*pending->response);
  }

  asio::awaitable<bool> Write(beast::tcp_stream& stream, HttpResponse response,
                              unsigned version, bool keep_alive) {
    auto message = ToBeast(std::move(response), version, keep_alive);
    error_code error;
    stream.expires_after(options.write_timeout);
    co_await http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && keep_alive;
  }

  asio::awaitable<bool> ServeOne(beast::tcp_stream& stream,
                                 beast::flat_buffer& buffer,
                                 std::uint64_t connection) {
    error_code error;
    if (buffer.size() == 0) {
      stream.expires_after(options.idle_timeout);
      const std::size_t count = co_await stream.async_read_some(
          buffer.prepare(kMaxHeaderBytes),
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return false;
      }
      buffer.commit(count);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options.max_body_bytes);
    // The stream's own time-out would close the socket. Cancelling the read
    // leaves it open, so that the client still receives the typed error.
    stream.expires_never();
    auto timeout_state = std::make_shared<ReadTimeoutState>();
    asio::steady_timer timer(io, options.read_timeout);
    timer.async_wait([timeout_state, &stream](error_code cancelled) {
      if (!cancelled && !timeout_state->read_ended) {
        timeout_state->timed_out = true;
        stream.cancel();
      }
    });
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    timeout_state->read_ended = true;
    timer.cancel();
    if (error) {
      const auto kind = timeout_state->timed_out
                            ? std::optional(ErrorKind::kTooSlow)
                            : ErrorKindOf(error);
      if (kind) {
        co_await Write(stream, ErrorResponse(*kind), 11, false);
      }
      co_return false;
    }
    const auto& message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.body = message.body();
    request.connection = connection;
    for (const std::string& name : options.kept_headers) {
      const auto found = message.find(name);
      if (found != message.end()) {
        request.headers.push_back({name, std::string(found->value())});
      }
    }
    const bool keep_alive = message.keep_alive();
    const unsigned version = message.version();
    stream.expires_never();
    ++open_requests;
    HttpResponse response = co_await Answer(std::move(request));
    if (response.status == 0) {
      --open_requests;
      co_return false;
    }
    const bool close_after = closing || response.close;
    const bool more = co_await Write(stream, std::move(response), version,
                                     keep_alive && !close_after);
    --open_requests;
    co_return more;
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     tcp::socket socket) {
    ++self->connections;
    const std::uint64_t connection = ++self->connections_accepted;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (co_await self->ServeOne(stream, buffer, connection)) {
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    --self->connections;
  }

  asio::io_context& io;
  HttpServerOptions options;
  Handler handler;
  tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::atomic<bool> draining = false;  ///< No connections are accepted.
  std::atomic<bool> closing = false;   ///< Connections close after each answer.
  std::atomic<std::size_t> connections = 0;
  std::atomic<std::size_t> open_requests = 0;
  std::uint64_t connections_accepted = 0;
};

HttpServer::HttpServer(asio::io_context& io, HttpServerOptions options,
                       Handler handler)
    : m_impl(
          std::make_shared<Impl>(io, std::move(options), std::move(handler))) {
  m_impl->Listen();
  auto impl = m_impl;
  asio::co_spawn(
      io, [impl]() -> asio::awaitable<void> { co_await impl->Accept(); },
      asio::detached);
}

HttpServer::~HttpServer() { Drain(); }

std::uint16_t HttpServer::Port() const { return m_impl->port; }

void HttpServer::CloseAfterAnswers() { m_impl->closing = true; }

void HttpServer::Drain() {
  m_impl->closing = true;
  m_impl->draining = true;
  asio::post(m_impl->io, [impl = m_impl] {
    error_code ignored;
    impl->acceptor.close(ignored);
  });
}

std::size_t HttpServer::OpenRequests() const { return m_impl->open_requests; }

}  // namespace buckthornmux::net
