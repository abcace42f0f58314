#include "buckthornmux/detail/runtime/config_duty.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/front/operator_calls.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kPublishEvery{100};

}  // namespace

ConfigDuty::ConfigDuty(Wiring& wiring) : m_wiring(wiring) {
  m_trust.trust = wiring.settings.config_trust;
}

Time ConfigDuty::Step(std::vector<ConfigMessage> messages, Time now) {
  for (const ConfigMessage& message : messages) {
    std::visit([&](const auto& one) { Take(one, m_wiring.Now()); }, message);
  }
  Publish(m_wiring.Now());
  return now + kPublishEvery;
}

void ConfigDuty::Take(const StateRead& message, Time now) {
  const auto found = std::ranges::find(*message.entries, store::kConfigKey,
                                       &store::Entry::key);
  if (found != message.entries->end()) {
    Consider(found->revision, found->value, now);
  }
  // A read that is older than what is in force says nothing of it.
  const Revision read = found == message.entries->end() ? 0 : found->revision;
  if (read >= m_config->revision) {
    m_trust.read_at = std::max(m_trust.read_at, message.read_at);
    m_trust.ever_read = true;
  }
}

void ConfigDuty::Take(const BeatReceived& message, Time /*now*/) {
  const peer::Heartbeat& heartbeat = message.heartbeat;
  m_wiring.beats.Heard(heartbeat);
  if (heartbeat.config > m_config->revision) {
    m_wiring.peers->Send(heartbeat.host,
                         peer::ConfigWanted{m_config->revision});
  }
  const auto echo = std::ranges::find(
      heartbeat.echoes, m_wiring.settings.host_id, &peer::Echo::host);
  if (echo == heartbeat.echoes.end() ||
      echo->incarnation != m_wiring.incarnation) {
    return;  // It can't be dated.
  }
  const auto sent_at = m_wiring.beats.SentAt(echo->sequence);
  if (!sent_at) {
    return;
  }
  PeerConfig& peer = m_trust.peers[heartbeat.host];
  peer.received_at = *sent_at;
  peer.revision = heartbeat.config;
  peer.age = heartbeat.config_age;
  peer.store_reachable = heartbeat.store_reachable;
}

void ConfigDuty::Take(const PeerMessage& message, Time now) {
  if (std::holds_alternative<peer::ConfigWanted>(message.message)) {
    m_wiring.peers->Send(message.from,
                         peer::ConfigText{m_config->revision, m_text});
  } else if (const auto* text =
                 std::get_if<peer::ConfigText>(&message.message)) {
    Consider(text->revision, text->text, now);
  }
}

void ConfigDuty::Take(const RoutesChanged& message, Time /*now*/) {
  std::erase_if(m_trust.peers, [&](const auto& peer) {
    return !message.routes->members.contains(peer.first);
  });
  for (const auto& [id, member] : message.routes->members) {
    if (id != m_wiring.settings.host_id) {
      m_trust.peers.try_emplace(id);  // Registered, perhaps never heard.
    }
  }
}

void ConfigDuty::Consider(Revision revision, const std::string& text,
                          Time now) {
  if (revision <= m_config->revision) {
    return;  // Revisions only go up.
  }
  auto outcome = Capture([&] { return config::DecodeConfig(text, revision); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    LogLine("config_unreadable", LogLine::Level::kError)
        .With("revision", revision)
        .With("message", error->message);
    return;
  }
  m_config = std::make_shared<const config::Config>(
      std::get<config::Config>(std::move(outcome)));
  m_text = text;
  m_trust.revision = revision;
  LogLine("config_in_force").With("revision", revision);
  m_wiring.owner.Post(ConfigChanged{m_config});
  m_wiring.member.Post(ConfigChanged{m_config});
  m_wiring.ledger.Post(ConfigChanged{m_config});
  Publish(now);
}

void ConfigDuty::Publish(Time now) {
  auto view = std::make_shared<ConfigView>();
  view->config = m_config;
  view->trusted_until = TrustedUntil(m_trust, now);
  view->sure_at = std::max(view->trusted_until - m_trust.trust, Time{});
  m_wiring.config_view.Store(std::move(view));
}

Time AnswerOperators(const Wiring& wiring,
                     const std::vector<OperatorCall>& calls) {
  for (const OperatorCall& call : calls) {
    const WallMillis now = wiring.anchor.ToWall(wiring.Now());
    call.respond(front::AnswerOperator(wiring.store, call.request, now));
  }
  return Time::max();
}

}  // namespace buckthornmux::runtime
