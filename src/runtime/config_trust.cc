#include "buckthornmux/detail/runtime/config_trust.h"

#include <algorithm>

namespace buckthornmux::runtime {

Time TrustedUntil(const TrustInputs& inputs, Time now) {
  if (!inputs.ever_read) {
    return Time{};
  }
  Time sure_at = inputs.read_at;
  Time all_cut_off_at = now;  // When every member last said it had no store.
  bool nobody_can_withdraw = true;
  for (const auto& [host, peer] : inputs.peers) {
    if (peer.revision > inputs.revision) {
      return Time{};  // A newer revision is in force elsewhere.
    }
    if (peer.revision == inputs.revision) {
      sure_at = std::max(sure_at, peer.received_at - peer.age);
    }
    const bool heard = now - peer.received_at <= inputs.trust;
    if (!heard || peer.store_reachable) {
      nobody_can_withdraw = false;
    }
    all_cut_off_at = std::min(all_cut_off_at, peer.received_at);
  }
  if (nobody_can_withdraw) {
    sure_at = std::max(sure_at, all_cut_off_at);
  }
  return sure_at + inputs.trust;
}

}  // namespace buckthornmux::runtime
