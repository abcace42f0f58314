/// Calls entry hosts for the command line: next host where one is unreachable.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/net/http_types.h"

namespace buckthornmux::cli {

/// Which failed calls are sent to the next entry host.
enum class Retry : std::uint8_t {
  kUnsent,      ///< Only those that surely did not arrive.
  kIdempotent,  ///< Also those that may have arrived.
};

/// Where and as whom to call.
struct EntryOptions {
  std::vector<std::string> entries;  ///< IP:port, tried in this order.
  std::string key;                   ///< Empty: none is sent.
  Millis timeout{20'000};            ///< Of one call.
};

/// @brief Error that an entry host's answer carries.
/// @param response status other than 2xx
/// @return kind by its name, kInternal where the body is not ours
[[nodiscard]] Error ErrorFromResponse(const net::HttpResponse& response);

/// @brief Calls entry hosts and waits for the answer.
class EntryClient {
 public:
  explicit EntryClient(EntryOptions options);
  ~EntryClient();
  EntryClient(const EntryClient&) = delete;
  EntryClient& operator=(const EntryClient&) = delete;

  /// @brief One call.
  /// @param request method, target and body; the key is added
  /// @param retry which failures go to the next entry host
  /// @return body of a 2xx answer; the answer's error; kPeerUnreachable where
  ///   no entry host is reached; kOutcomeUnknown where one fell silent
  [[nodiscard]] Result<std::string> Call(net::HttpRequest request, Retry retry);

  /// @brief One call to one entry host, answered on an I/O thread.
  /// @param entry index into the entries, taken modulo their count
  void CallAsync(std::size_t entry, net::HttpRequest request,
                 net::Completion done);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::cli
