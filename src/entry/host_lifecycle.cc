// Signals, reloading of settings, and shutdown.
#include <csignal>

#include "buckthornmux/detail/entry/settings_file.h"
#include "host_process.h"
#include "platform/settings.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr Millis kSettingsInterval{2000};
/// A leaving host continues to serve until the load balancer has removed it,
/// which takes two health checks, one second apart.
constexpr Millis kLeaveDelay{3500};
constexpr Millis kShutdownMargin{800};  ///< Time left before SIGKILL.

}  // namespace

void Host::AwaitSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      Reload("signal");
      AwaitSignal();
    } else if (m_leaving) {
      LogLine("stop_forced", Level::kWarning).With("host", m_settings.host);
      m_io.stop();
    } else {
      Leave();
      AwaitSignal();
    }
  });
}

void Host::Reload(std::string_view cause) {
  auto outcome = Capture([this] {
    return ReadSettings(m_settings_path, platform::ParseSettings);
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    LogLine("settings_unreadable", Level::kWarning)
        .With("cause", cause)
        .With("reason", error->message);
    return;
  }
  auto& settings = std::get<HostSettings>(outcome);
  if (settings.store_address != m_settings.store_address) {
    m_settings.store_address = settings.store_address;
    m_store = MakeStore();
  }
  LogLine("settings_read")
      .With("cause", cause)
      .With("store", settings.store_address)
      .With("adviser", settings.adviser_address);
  m_settings.adviser_address = settings.adviser_address;
}

void Host::WatchSettings(Time now) {
  if (now < m_settings_at) {
    return;
  }
  m_settings_at = now + kSettingsInterval;
  auto outcome = Capture([this] {
    return ReadSettings(m_settings_path, platform::ParseSettings);
  });
  const auto* settings = std::get_if<HostSettings>(&outcome);
  if (settings != nullptr &&
      (settings->store_address != m_settings.store_address ||
       settings->adviser_address != m_settings.adviser_address)) {
    Reload("file changed");
  }
}

void Host::Leave() {
  m_leaving = true;
  m_leave_at = Now();
  LogLine("leaving")
      .With("host", m_settings.host)
      .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
  m_callers.Leave();
  m_members.Leave();
}

void Host::LeaveWhenDone(Time now) {
  if (!m_leaving || m_unregistering) {
    return;
  }
  const Millis since = now - m_leave_at;
  const Millis max_time = m_settings.bounds.shutdown - kShutdownMargin;
  const bool done = since >= std::min(kLeaveDelay, max_time) &&
                    m_callers.Open() == 0 && m_members.OwnsNothing();
  if (!done && since < max_time) {
    return;
  }
  m_unregistering = true;
  LogLine("draining")
      .With("host", m_settings.host)
      .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
  m_callers.Stop();
  m_members.Unregister([this] { m_io.stop(); });
}

}  // namespace buckthornmux::entry
