/// Stand-in of the users' key-value service, under the names of their pages.
#pragma once

#include <list>
#include <memory>
#include <random>
#include <string>

#include "buckthornmux/detail/net/http_server.h"
#include "standins/kv_state.h"

namespace buckthornmux::standins {

/// @brief Serves the store on one address; the loop's thread alone calls it.
class PlatformStore {
 public:
  PlatformStore(boost::asio::io_context& io, const std::string& address);

  /// @brief Writes as the operator or a target does.
  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);

  /// @brief While away, every call gets 503.
  void SetAway(bool away) { m_away = away; }

  /// @brief From now on so many of the writes and renewals are not answered:
  ///   half of these are done, the others only up to 3 s later.
  void SetLosses(double share) { m_lost_share = share; }

  /// @brief Ends leases and answers watches that are due.
  void Tick(Time now);

  [[nodiscard]] std::uint64_t Calls() const { return m_calls; }

 private:
  struct Waiting {
    std::string prefix;
    Revision after = 0;
    Time until;
    net::Responder respond;
  };

  /// A write whose caller gets no answer.
  struct Lost {
    Time due;
    net::HttpRequest request;
    net::Responder silent;  ///< Kept, so that its connection stays open.
  };

  void Take(const net::HttpRequest& request, const net::Responder& respond);
  void Serve(const net::HttpRequest& request, const net::Responder& respond);
  bool Lose(const net::HttpRequest& request, const net::Responder& respond);
  net::HttpResponse Commit(const std::string& body);
  net::HttpResponse Item(std::string_view key) const;
  net::HttpResponse Range(std::string_view prefix,
                          std::string_view after) const;
  void Watch(std::string prefix, Revision after, Millis wait,
             const net::Responder& respond);
  void WakeWatches(Time now);

  KvState m_state;
  bool m_away = false;
  double m_lost_share = 0;
  std::mt19937_64 m_random{1};
  std::list<Lost> m_lost;
  std::uint64_t m_calls = 0;
  std::list<Waiting> m_waiting;
  net::HttpServer m_server;
};

}  // namespace buckthornmux::standins
