// Signals, reloading of settings, and shutdown.
#include <csignal>

#include "buckthornmux/detail/entry/settings_file.h"
#include "buckthornmux/detail/entry/shutdown.h"
#include "host_process.h"
#include "platform/settings.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr Millis kSettingsInterval{2000};

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
      m_shutdown.forced = true;
      AwaitSignal();
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
  m_shutdown.began = Now();
  LogLine("leaving")
      .With("host", m_settings.host)
      .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
  m_callers.Leave();
  m_members.Leave();
}

void Host::LeaveWhenDone(Time now) {
  if (!m_leaving) {
    return;
  }
  m_shutdown.owns_nothing = m_members.OwnsNothing();
  m_shutdown.open_calls = m_callers.Open();
  m_shutdown.open_responses = m_callers.OpenResponses();
  switch (NextShutdownStep(m_shutdown, m_settings.bounds.shutdown, now)) {
    case ShutdownStep::kServe:
    case ShutdownStep::kFlush:
      break;
    case ShutdownStep::kEndCalls:
      LogLine("draining")
          .With("host", m_settings.host)
          .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
      m_shutdown.calls_ended = now;
      m_callers.Stop();
      // Another host may claim the cell as soon as the registration has ended.
      m_cell.Close("this host stops");
      m_members.Unregister([this] { m_shutdown.registered = false; });
      break;
    case ShutdownStep::kExit:
      if (m_shutdown.open_responses > 0) {
        LogLine("responses_not_written", Level::kWarning)
            .With("open",
                  static_cast<std::uint64_t>(m_shutdown.open_responses));
      }
      m_io.stop();
      break;
  }
}

}  // namespace buckthornmux::entry
