/// A short day on a stand-in of the users' platform: store, adviser, targets
/// and callers in one process, judged from what callers and targets see.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/net/http_server.h"
#include "standins/job_checker.h"
#include "standins/odd_entries.h"
#include "standins/platform_store.h"

namespace buckthornmux::standins {

struct DayOptions {
  int port_base = 28'000;  ///< Store; adviser one above; targets from +10.
  std::vector<std::string> hosts;  ///< Callers' addresses of the entry hosts.
  int targets = 8;
  double rate = 8;        ///< Jobs a second.
  Millis length{8000};    ///< Of the load.
  Millis finish{15'000};  ///< Then every accepted job has to end.
  std::uint64_t seed = 1;
  Millis store_away_at{0};  ///< From the start of the load; 0: never.
  Millis store_away_for{0};
  Millis store_loses_at{0};  ///< From the start of the load.
  Millis store_loses_for{0};
  double store_losses = 0;  ///< Share of writes that are not answered then.
  double answers_lost = 0;  ///< Share of starts done but not answered.
  std::uint64_t max_body_bytes = 0;  ///< In the configuration; 0: left out.
  bool odd_entries = false;          ///< Some beside those of the targets.
};

/// @brief Plays the day; its summary and verdict go to standard output.
class PlatformDay {
 public:
  PlatformDay(boost::asio::io_context& io, DayOptions options);

  /// @return 0 where every promise was kept and all accepted jobs ended
  [[nodiscard]] int Verdict() const;

 private:
  struct Caller {
    int tries = 0;
    bool accepted = false;
    bool unsure = false;  ///< Some try had an answer that tells nothing.
    bool ended = false;
    Time next_poll;
    bool polling = false;
  };
  struct HeldReport {
    Time until;
    cell::ReportCall call;
    net::Responder respond;
  };

  void WriteRules();
  void WriteEntries();
  void ListenForOddCalls(const std::string& address);
  void WriteOddEntries(Millis since);
  void TakeOrder(std::size_t index, const net::HttpRequest& request,
                 const net::Responder& respond);
  void AnswerReport(std::size_t index, const cell::ReportCall& call,
                    const net::Responder& respond);
  void Start(std::size_t index, const boost::json::object& body,
             const net::Responder& respond);
  void Advise(const net::HttpRequest& request, const net::Responder& respond);
  void Tick();
  void SubmitOne();
  void Submit(const std::string& id);
  void Poll(const std::string& id);
  net::HttpRequest CallOf(const std::string& method, const std::string& id);
  [[nodiscard]] bool AllEnded() const;
  void Summarise();

  boost::asio::io_context& m_io;
  DayOptions m_options;
  std::mt19937_64 m_random;
  PlatformStore m_store;
  std::vector<SimTarget> m_targets;
  std::vector<std::unique_ptr<net::HttpServer>> m_servers;
  std::map<std::size_t, std::deque<HeldReport>> m_held;
  net::HttpClient m_client;
  JobChecker m_checker;
  std::map<std::string, Caller> m_callers;
  boost::asio::steady_timer m_timer;
  Time m_began;
  Time m_next_entries;
  double m_due = 0;  ///< Jobs to hand in.
  std::size_t m_next_host = 0;
  std::vector<std::string> m_lost;
  std::vector<OddEntry> m_odd;
  int m_odd_calls = 0;    ///< To the address of an odd entry.
  int m_other_calls = 0;  ///< To a healthy target, for another id.
};

}  // namespace buckthornmux::standins
