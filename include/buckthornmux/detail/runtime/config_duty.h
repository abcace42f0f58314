/// The config duty: the revision in force and its spread.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "buckthornmux/detail/runtime/config_trust.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the config duty; used by its thread alone.
class ConfigDuty {
 public:
  explicit ConfigDuty(Wiring& wiring);

  /// @brief Takes messages; revisions only go up.
  /// @return when to be called again at the latest
  Time Step(std::vector<ConfigMessage> messages, Time now);

 private:
  void Take(const StateRead& message, Time now);
  void Take(const BeatReceived& message, Time now);
  void Take(const PeerMessage& message, Time now);
  void Take(const RoutesChanged& message, Time now);

  void Consider(Revision revision, const std::string& text, Time now);
  void Publish(Time now);

  Wiring& m_wiring;
  ConfigPtr m_config = std::make_shared<const config::Config>();
  std::string m_text;
  TrustInputs m_trust;
};

/// @brief Step of the operators duty: carries out calls that wait for the
/// store,
///   apart from the config duty, whose word keys are trusted on.
/// @return Time::max(): called when there are calls
Time AnswerOperators(const Wiring& wiring,
                     const std::vector<OperatorCall>& calls);

}  // namespace buckthornmux::runtime
