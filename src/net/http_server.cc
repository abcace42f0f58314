#include "buckthornmux/detail/net/http_server.h"

#include <algorithm>
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
#include <iterator>
#include <list>
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

/// Bound of the request line with all header fields, and of what the parser
/// needs as a whole later: a chunk header with its extensions, all trailers.
constexpr std::uint32_t kMaxHeaderBytes = 16 << 10;
/// Usual HTTP clients send under 30 fields.
constexpr std::ptrdiff_t kMaxHeaderFields = 128;
/// Bytes of a chunked body that aren't content. Chunks of 1 KB need under 2 KB
/// for a body of 262,144 bytes.
constexpr std::uint64_t kMaxFramingBytes = 256 << 10;
/// Buffer of a connection that waits for a request; holds most requests whole.
/// It is bounded by max_connections, larger buffers by the budget.
constexpr std::size_t kIdleBufferBytes = 4 << 10;
constexpr std::size_t kMinReadBytes = 512;
/// A refused body of up to this size is skipped, so that its connection can be
/// kept.
constexpr std::uint64_t kMaxSkippedBytes = 64 << 10;
/// After a refusal the rest of the input is read for this long and this far: a
/// client that is still sending would otherwise get a reset in place of the
/// answer.
constexpr Millis kLingerTime{500};
constexpr std::uint64_t kMaxLingerBytes = 256 << 10;
constexpr std::uint64_t kMinBudgetBytes = 64 << 20;
constexpr std::uint64_t kBodiesPerBudget = 8;
constexpr Millis kAcceptRetryDelay{50};
constexpr Millis kOverloadRetryAfter{1000};

// Names of limits in HttpServerOptions::over_limit.
constexpr std::string_view kHeaderBytes = "header_bytes";
constexpr std::string_view kHeaderFields = "header_fields";
constexpr std::string_view kFramingBytes = "framing_bytes";
constexpr std::string_view kBodyBytes = "body_bytes";
constexpr std::string_view kBudget = "request_bytes";
constexpr std::string_view kConnections = "connections";

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

HttpResponse ErrorResponse(ErrorKind kind, Ran ran) {
  const ErrorAnswer& answer = AnswerFor(kind);
  HttpResponse response;
  response.status = answer.http_status;
  response.body = R"({"error":")" + std::string(answer.name) + R"(","ran":")" +
                  std::string(RanName(ran)) + R"("})";
  response.retry_after = answer.retry_after;
  return response;
}

HttpResponse ErrorResponse(ErrorKind kind) {
  return ErrorResponse(kind, AnswerFor(kind).ran);
}

std::optional<ErrorKind> ErrorKindOf(const error_code& error) {
  if (error.category() == make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return ErrorKind::kMalformed;
  }
  return std::nullopt;
}

/// Name of the limit that an error of the parser stands for; empty if none.
std::string_view LimitOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return kHeaderBytes;
  }
  if (error == http::error::buffer_overflow) {
    return kFramingBytes;
  }
  return error == http::error::body_limit ? kBodyBytes : std::string_view();
}

/// Outcome of reading a part of a request.
struct ReadResult {
  error_code error;
  std::string_view limit;  ///< Limit that the client exceeded; empty if none.
  [[nodiscard]] bool Good() const { return !error && limit.empty(); }
};

HttpResponse LimitResponse(std::string_view limit) {
  if (limit != kBudget) {
    return ErrorResponse(ErrorKind::kTooLarge);
  }
  // The request was not handled.
  HttpResponse response = ErrorResponse(ErrorKind::kQueueFull, Ran::kNo);
  response.retry_after = kOverloadRetryAfter;
  return response;
}

/// Input of one connection.
struct Connection {
  Connection(tcp::socket socket, const std::shared_ptr<RequestBudget>& budget,
             bool known)
      : stream(std::move(socket)), share(budget, known) {}

  /// Accounts for the buffer and for `bytes` beside it.
  [[nodiscard]] bool Hold(std::uint64_t bytes) {
    const std::size_t capacity = buffer.capacity();
    return share.Resize(bytes + (capacity > kIdleBufferBytes ? capacity : 0));
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxHeaderBytes};
  BudgetShare share;
  std::uint64_t number = 0;
  std::uint64_t parsed = 0;  ///< Bytes of the current request.
  /// Its entry of the idle connections while it isn't one of them.
  std::list<Connection*> place{this};
  bool evicted = false;  ///< Closed to make room, removed from the idle ones.
};

/// Number of bytes to read next: as many as fit, else the buffer grows.
std::size_t NextReadSize(const beast::flat_buffer& buffer) {
  const std::size_t room = buffer.max_size() - buffer.size();
  const std::size_t spare = buffer.capacity() - buffer.size();
  const std::size_t wanted =
      spare >= kMinReadBytes ? spare : std::max(buffer.size(), kMinReadBytes);
  return std::min(room, wanted);
}

HttpRequest HeadOf(const http::request_header<>& head,
                   const std::vector<std::string>& kept_headers) {
  HttpRequest request;
  request.method = std::string(head.method_string());
  request.target = std::string(head.target());
  request.authorization = std::string(head[http::field::authorization]);
  for (const std::string& name : kept_headers) {
    const auto found = head.find(name);
    if (found != head.end()) {
      request.headers.push_back({name, std::string(found->value())});
    }
  }
  return request;
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
        acceptor(context) {
    if (!options.budget) {
      options.budget = std::make_shared<RequestBudget>();
      options.budget->limits = LimitsOf(
          std::max(kMinBudgetBytes, kBodiesPerBudget * options.max_body_bytes));
    }
  }

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
        ReportLimit(kConnections);
        if (idle.empty()) {
          continue;  // The destructor closes the socket.
        }
        Connection& longest = *idle.front();
        longest.evicted = true;
        longest.stream.cancel();
        longest.place.splice(longest.place.end(), idle, idle.begin());
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

  void ReportLimit(std::string_view limit) const {
    if (options.over_limit) {
      options.over_limit(limit);
    }
  }

  /// Waits for the first bytes of a request, in a small buffer.
  asio::awaitable<bool> AwaitRequest(Connection& connection) {
    if (connection.buffer.capacity() > kIdleBufferBytes) {
      connection.buffer.shrink_to_fit();
    }
    connection.stream.expires_after(options.idle_timeout);
    idle.splice(idle.end(), connection.place);
    const auto place = std::prev(idle.end());
    error_code error;
    const std::size_t count = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kIdleBufferBytes),
        asio::redirect_error(asio::use_awaitable, error));
    if (connection.evicted) {
      co_return false;
    }
    connection.place.splice(connection.place.end(), idle, place);
    connection.buffer.commit(count);
    co_return !error;
  }

  /// Parses buffered input until the head, or the whole request, is complete.
  /// `check` returns the name of a limit that is exceeded, or nothing. Returns
  /// nothing if more input is needed.
  template <class Parser, class Check>
  static std::optional<ReadResult> ParseBuffered(Connection& connection,
                                                 Parser& parser, bool whole,
                                                 const Check& check) {
    beast::flat_buffer& buffer = connection.buffer;
    while (whole ? !parser.is_done() : !parser.is_header_done()) {
      if (buffer.size() == 0) {
        return std::nullopt;
      }
      error_code error;
      const std::size_t parsed = parser.put(buffer.data(), error);
      buffer.consume(parsed);
      connection.parsed += parsed;
      if (error && error != http::error::need_more) {
        return ReadResult{error, LimitOf(error)};
      }
      const std::string_view exceeded = check();
      if (!exceeded.empty()) {
        return ReadResult{{}, exceeded};
      }
      if (error) {
        return std::nullopt;
      }
    }
    return ReadResult{};
  }

  /// Reads and parses until the head, or the whole request, is complete.
  template <class Parser, class Check>
  static asio::awaitable<ReadResult> ReadParts(Connection& connection,
                                               Parser& parser, bool whole,
                                               Check check) {
    beast::flat_buffer& buffer = connection.buffer;
    std::optional<ReadResult> result;
    while (!result) {
      const std::size_t size = NextReadSize(buffer);
      if (size == 0) {
        co_return ReadResult{{}, kFramingBytes};
      }
      const auto space = buffer.prepare(size);
      const std::string_view exceeded = check();
      if (!exceeded.empty()) {
        co_return ReadResult{{}, exceeded};
      }
      error_code error;
      const std::size_t count = co_await connection.stream.async_read_some(
          space, asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return ReadResult{error, {}};
      }
      buffer.commit(count);
      result = ParseBuffered(connection, parser, whole, check);
    }
    co_return *result;
  }

  /// Reads and discards input, up to a number of bytes.
  static asio::awaitable<bool> Skip(Connection& connection,
                                    std::uint64_t bytes) {
    beast::flat_buffer& buffer = connection.buffer;
    error_code error;
    while (!error) {
      const std::size_t part = std::min<std::uint64_t>(bytes, buffer.size());
      buffer.consume(part);
      bytes -= part;
      if (bytes == 0) {
        co_return true;
      }
      const std::size_t count = co_await connection.stream.async_read_some(
          buffer.prepare(kIdleBufferBytes),
          asio::redirect_error(asio::use_awaitable, error));
      buffer.commit(count);
    }
    co_return false;
  }

  /// Answers a request that is not read to its end, and closes the connection.
  asio::awaitable<void> Refuse(Connection& connection, HttpResponse response) {
    connection.share.Release();
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    co_await Write(connection.stream, std::move(response), 11, false);
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(kLingerTime);
    co_await Skip(connection, kMaxLingerBytes);
  }

  asio::awaitable<void> RefuseUnread(Connection& connection, ReadResult result,
                                     bool timed_out) {
    if (!result.limit.empty()) {
      ReportLimit(result.limit);
      HttpResponse response = LimitResponse(result.limit);
      co_await Refuse(connection, std::move(response));
      co_return;
    }
    const auto kind = timed_out ? std::optional(ErrorKind::kTooSlow)
                                : ErrorKindOf(result.error);
    if (kind) {
      HttpResponse response = ErrorResponse(*kind);
      co_await Refuse(connection, std::move(response));
    }
  }

  /// Returns the limit that the body being read exceeds, or nothing.
  static std::string_view CheckBody(
      Connection& connection,
      const http::request_parser<http::string_body>& parser,
      std::uint64_t head_bytes) {
    const std::string& body = parser.get().body();
    if (connection.parsed - head_bytes > body.size() + kMaxFramingBytes) {
      return kFramingBytes;
    }
    // The parser reserves the memory of an announced body.
    const std::uint64_t reserved = std::max<std::uint64_t>(
        body.capacity(), parser.content_length().value_or(0));
    return connection.Hold(head_bytes + reserved) ? std::string_view()
                                                  : kBudget;
  }

  /// Decides on a request whose head is read and whose body isn't.
  ReadResult DecideBody(Connection& connection, const HeadDecision& decision,
                        std::uint64_t announced) const {
    if (announced > std::min(options.max_body_bytes, decision.max_body_bytes)) {
      return {{}, kBodyBytes};
    }
    return {{},
            connection.share.SetKnown(decision.known_caller)
                ? std::string_view()
                : kBudget};
  }

  /// A request that was read, and what its answer needs.
  struct ReadRequest {
    HttpRequest request;
    std::optional<HttpResponse> refusal;  ///< Its body was skipped.
    unsigned version = 11;
    bool keep_alive = false;
  };

  /// Reads a request. Returns nothing if the connection is to be closed.
  asio::awaitable<std::optional<ReadRequest>> Read(Connection& connection) {
    connection.parsed = 0;
    beast::tcp_stream& stream = connection.stream;
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
    http::request_parser<http::empty_body> head;
    head.header_limit(kMaxHeaderBytes);
    head.body_limit(boost::none);  // DecideBody compares it.
    const auto check_head = [&connection] {
      return connection.Hold(connection.parsed) ? std::string_view() : kBudget;
    };
    // Most requests arrive whole, and need no further coroutine.
    auto parsed = ParseBuffered(connection, head, false, check_head);
    if (!parsed) {
      parsed = co_await ReadParts(connection, head, false, check_head);
    }
    ReadResult result = *parsed;
    if (result.Good() && std::distance(head.get().begin(), head.get().end()) >
                             kMaxHeaderFields) {
      result.limit = kHeaderFields;
    }
    std::optional<ReadRequest> read;
    if (result.Good()) {
      const auto& message = head.get();
      read.emplace();
      read->request = HeadOf(message.base(), options.kept_headers);
      read->request.connection = connection.number;
      read->version = message.version();
      read->keep_alive = message.keep_alive();
    }
    if (read && !head.is_done()) {
      HeadDecision decision;
      decision.known_caller = true;
      if (options.decide_head) {
        decision = options.decide_head(read->request);
      }
      const auto announced = head.content_length();
      if (decision.refusal) {
        read->refusal = std::move(decision.refusal);
        const bool skipped = announced && *announced <= kMaxSkippedBytes &&
                             co_await Skip(connection, *announced);
        if (!skipped && !timeout_state->timed_out) {
          HttpResponse response = std::move(*read->refusal);
          timeout_state->read_ended = true;
          co_await Refuse(connection, std::move(response));
          co_return std::nullopt;
        }
        if (!skipped) {
          result.error = asio::error::operation_aborted;
        }
      } else {
        result = DecideBody(connection, decision, announced.value_or(0));
        if (result.Good()) {
          http::request_parser<http::string_body> body(std::move(head));
          body.body_limit(
              std::min(options.max_body_bytes, decision.max_body_bytes));
          body.eager(true);
          const std::uint64_t head_bytes = connection.parsed;
          const auto check_body = [&connection, &body, head_bytes] {
            return CheckBody(connection, body, head_bytes);
          };
          // Before the parser reserves the announced length.
          result.limit = check_body();
          if (result.Good()) {
            parsed = ParseBuffered(connection, body, true, check_body);
            if (!parsed) {
              parsed = co_await ReadParts(connection, body, true, check_body);
            }
            result = *parsed;
          }
          read->request.body = std::move(body.get().body());
        }
      }
    }
    timeout_state->read_ended = true;
    timer.cancel();
    if (!result.Good()) {
      read.reset();  // Frees the body that its share no longer covers.
      co_await RefuseUnread(connection, result, timeout_state->timed_out);
      co_return std::nullopt;
    }
    co_return read;
  }

  asio::awaitable<bool> ServeOne(Connection& connection) {
    if (connection.buffer.size() == 0 && !co_await AwaitRequest(connection)) {
      co_return false;
    }
    std::optional<ReadRequest> read = co_await Read(connection);
    if (!read) {
      co_return false;
    }
    connection.stream.expires_never();
    ++open_requests;
    HttpResponse response;
    if (read->refusal) {
      response = std::move(*read->refusal);
    } else {
      response = co_await Answer(std::move(read->request));
    }
    bool more = false;
    if (response.status != 0) {
      const bool close_after = closing || response.close;
      more = co_await Write(connection.stream, std::move(response),
                            read->version, read->keep_alive && !close_after);
    }
    --open_requests;
    connection.share.Release();
    // The next request's caller is unknown until its head is read.
    more = more && connection.share.SetKnown(!options.decide_head);
    co_return more;
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     tcp::socket socket) {
    ++self->connections;
    Connection connection(std::move(socket), self->options.budget,
                          !self->options.decide_head);
    connection.number = ++self->connections_accepted;
    while (co_await self->ServeOne(connection)) {
    }
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
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
  /// Connections that wait for a request, the longest waiting first.
  std::list<Connection*> idle;
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
