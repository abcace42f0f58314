#include "buckthornmux/detail/cli/entry_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <thread>
#include <utility>
#include <variant>

#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::cli {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kConnectionsPerEntry = 256;
constexpr std::size_t kWaitingPerEntry = 65'536;
constexpr int kFirstError = 300;  // HTTP status.

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

net::HttpClientOptions ClientOptions() {
  net::HttpClientOptions options;
  options.max_connections_per_peer = kConnectionsPerEntry;
  options.max_waiting_per_peer = kWaitingPerEntry;
  return options;
}

bool MayGoOn(ErrorKind kind, Retry retry) {
  return kind == ErrorKind::kPeerUnreachable ||
         (retry == Retry::kIdempotent && kind == ErrorKind::kOutcomeUnknown);
}

}  // namespace

Error ErrorFromResponse(const net::HttpResponse& response) {
  boost::system::error_code code;
  const json::value body = json::parse(response.body, code);
  if (code || !body.is_object()) {
    return {ErrorKind::kInternal,
            "answered with HTTP status " + std::to_string(response.status) +
                ": check that --entry is an entry host",
            {}};
  }
  const json::object& object = body.get_object();
  Error error;
  error.kind = KindFromName(TextOf(object, "error"));
  error.message = TextOf(object, "message");
  if (error.message.empty()) {
    error.message = AnswerFor(error.kind).advice;
  }
  const std::string ran = TextOf(object, "ran");
  if (!ran.empty()) {
    error.message += " (ran: " + ran + ")";
  }
  return error;
}

struct EntryClient::Impl {
  explicit Impl(EntryOptions entry_options)
      : options(std::move(entry_options)) {}
  ~Impl() {
    io.stop();
    thread.join();
  }

  EntryOptions options;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      io.get_executor()};
  net::HttpClient client{io, ClientOptions()};
  std::thread thread{[this] { io.run(); }};
};

EntryClient::EntryClient(EntryOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

EntryClient::~EntryClient() = default;

Result<std::string> EntryClient::Call(net::HttpRequest request, Retry retry) {
  if (!m_impl->options.key.empty()) {
    request.authorization = "Bearer " + m_impl->options.key;
  }
  Error last{ErrorKind::kUsage, "no entry host is given: use --entry", {}};
  for (const std::string& entry : m_impl->options.entries) {
    const auto outcome =
        m_impl->client.CallAndWait(entry, request, m_impl->options.timeout);
    if (const auto* response = std::get_if<net::HttpResponse>(&outcome)) {
      if (response->status < kFirstError) {
        return response->body;
      }
      last = ErrorFromResponse(*response);
      last.where = entry;
      break;
    }
    last = std::get<Error>(outcome);
    last.where = entry;
    if (!MayGoOn(last.kind, retry)) {
      break;
    }
  }
  return Fail(last.kind, last.message, last.where);
}

void EntryClient::CallAsync(std::size_t entry, net::HttpRequest request,
                            net::Completion done) {
  const auto& entries = m_impl->options.entries;
  if (!m_impl->options.key.empty()) {
    request.authorization = "Bearer " + m_impl->options.key;
  }
  m_impl->client.Call(entries[entry % entries.size()], std::move(request),
                      m_impl->options.timeout, std::move(done));
}

}  // namespace buckthornmux::cli
