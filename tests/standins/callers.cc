#include "standins/callers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <ostream>
#include <random>
#include <utility>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/net/url.h"
#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kConnectionsPerEntry = 512;
constexpr std::size_t kWaitingPerEntry = 20'000;
constexpr double kMillisPerSecond = 1000.0;
constexpr Millis kCheckEnd{20};

using RequestPtr = std::shared_ptr<PlannedRequest>;

/// All requests of one run, on one thread.
class OpenLoop {
 public:
  OpenLoop(const CallersOptions& options, std::ostream& log)
      : m_options(options),
        m_log(log),
        m_client(m_io, {.max_connections_per_peer = kConnectionsPerEntry,
                        .max_waiting_per_peer = kWaitingPerEntry}),
        m_timer(m_io),
        m_began(SteadyNow()),
        m_random(options.seed) {
    std::vector<double> weights;
    for (const MixPart& part : options.mix) {
      weights.push_back(part.weight);
    }
    m_parts =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  CallerCounts Run() {
    Generate();
    m_io.run();
    for (const auto& [number, request] : m_open) {
      request->line.answer = "pending";
      request->line.ran = "unknown";
      ++m_counts.pending;
      m_log << FormatCallerLine(request->line) << '\n';
    }
    return m_counts;
  }

 private:
  /// Sends what is due by now, then waits for the next one's time.
  void Generate() {
    const Time now = SteadyNow();
    const auto elapsed = now - m_began;
    if (elapsed >= m_options.duration) {
      AwaitEnd();
      return;
    }
    const double due = static_cast<double>(elapsed.count()) *
                       m_options.per_second / kMillisPerSecond;
    while (static_cast<double>(m_made) <= due) {
      MakeRequest();
    }
    const double next =
        static_cast<double>(m_made) * kMillisPerSecond / m_options.per_second;
    After(m_timer, Millis(static_cast<std::int64_t>(next) + 1) - elapsed,
          [this] { Generate(); });
  }

  /// Stops when all have ended, or the wait for them is over.
  void AwaitEnd() {
    const bool over =
        SteadyNow() - m_began >= m_options.duration + m_options.drain;
    if (m_open.empty() || over) {
      m_io.stop();
      return;
    }
    After(m_timer, kCheckEnd, [this] { AwaitEnd(); });
  }

  template <class F>
  static void After(asio::steady_timer& timer, Millis pause, F&& then) {
    timer.expires_after(pause);
    timer.async_wait([then = std::forward<F>(then)](error_code error) mutable {
      if (!error) {
        then();
      }
    });
  }

  void MakeRequest() {
    const MixPart& part = m_options.mix[m_parts(m_random)];
    PlannedRequest request;
    request.kind =
        part.patient ? m_options.patient_kind : m_options.urgent_kind;
    request.run_ms = m_options.run_ms;
    request.deadline_ms = part.patient ? m_options.patient_deadline_ms
                                       : m_options.urgent_deadline_ms;
    request.line.id = m_options.prefix + std::to_string(++m_made);
    request.line.echo = "echo-" + request.line.id;
    request.line.idempotent = part.idempotent;
    request.line.patient = part.patient;
    request.line.ran = "no";
    request.line.sent_at = WallNow();
    const bool twice = !part.idempotent && m_options.duplicate_every > 0 &&
                       ++m_non_idempotent % m_options.duplicate_every == 0;
    for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
      ++m_counts.sent;
      const std::size_t number = ++m_last_number;
      auto open = std::make_shared<PlannedRequest>(request);
      m_open.emplace(number, open);
      Submit(number, open);
    }
  }

  /// Each try goes to the next entry, so that a repeat arrives elsewhere.
  const std::string& NextEntry() {
    return m_options.entries[m_next_entry++ % m_options.entries.size()];
  }

  void Submit(std::size_t number, const RequestPtr& request) {
    ++request->tries;
    ++m_counts.tries;
    Call(number, request,
         {.method = "POST", .target = "/v1/jobs", .body = JobBody(*request)});
  }

  void Poll(std::size_t number, const RequestPtr& request) {
    net::HttpRequest poll;
    poll.target =
        net::FormatTarget({"/v1/jobs/" + request->line.id,
                           {{"wait_ms", "5000"}, {"kind", request->kind}}});
    Call(number, request, std::move(poll));
  }

  void Call(std::size_t number, const RequestPtr& request,
            net::HttpRequest message) {
    if (!m_options.key.empty()) {
      message.authorization = "Bearer " + m_options.key;
    }
    m_client.Call(NextEntry(), std::move(message), m_options.call_timeout,
                  [this, number, request](const auto& outcome) {
                    OnAnswer(number, request, outcome);
                  });
  }

  void OnAnswer(std::size_t number, const RequestPtr& request,
                const Outcome<net::HttpResponse>& outcome) {
    const NextStep step = TakeAnswer(*request, outcome, m_options.most_tries);
    if (step.kind == NextStep::Kind::kFinished) {
      Finish(number, *request);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    After(*timer, step.after, [this, timer, number, request, step] {
      if (step.kind == NextStep::Kind::kPoll) {
        Poll(number, request);
      } else {
        Submit(number, request);
      }
    });
  }

  void Finish(std::size_t number, PlannedRequest& request) {
    request.line.at = WallNow();
    m_counts.accepted += request.line.accepted ? 1 : 0;
    if (request.line.answer == "done") {
      ++m_counts.done;
    } else {
      ++m_counts.errors;
    }
    if (request.line.answer == "done" && !request.line.patient) {
      m_counts.urgent_ms.push_back(request.line.at - request.line.sent_at);
    }
    m_log << FormatCallerLine(request.line) << std::endl;
    m_open.erase(number);
  }

  const CallersOptions& m_options;
  std::ostream& m_log;
  asio::io_context m_io{1};
  net::HttpClient m_client;
  asio::steady_timer m_timer;
  Time m_began;
  std::mt19937 m_random;
  std::discrete_distribution<std::size_t> m_parts;
  std::size_t m_made = 0;
  int m_non_idempotent = 0;
  std::size_t m_last_number = 0;
  std::size_t m_next_entry = 0;
  std::map<std::size_t, RequestPtr> m_open;
  CallerCounts m_counts;
};

}  // namespace

CallerCounts RunOpenLoop(const CallersOptions& options, std::ostream& log) {
  OpenLoop loop(options, log);
  return loop.Run();
}

}  // namespace buckthornmux::standins
