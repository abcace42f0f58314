/// The key-value stand-in over HTTP, with faults on demand.
#pragma once

#include <memory>
#include <string>

#include "standins/kv_state.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// Settings of the key-value stand-in.
struct KvOptions {
  std::string listen = "127.0.0.1:0";
  KvLimits limits;
};

/// @brief Serves /v1/kv, /v1/leases and /v1/watch, and under /standin/ the
///   faults and the counts of calls since the start.
///
/// Faults, set by POST /standin/faults: `away` closes every call unanswered and
/// without effect, `busy` answers 503, `slow_ms` delays every answer,
/// `lose_answer_every` n lets every n-th write take effect and closes its
/// connection unanswered, `fail_write_every` n closes it without effect.
class KvServer {
 public:
  /// @param io run by one thread; outlives the server
  KvServer(boost::asio::io_context& io, const KvOptions& options);
  ~KvServer();
  KvServer(const KvServer&) = delete;
  KvServer& operator=(const KvServer&) = delete;

  /// @brief Address as "IP:port".
  [[nodiscard]] std::string Address() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::standins
