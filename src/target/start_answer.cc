#include "start_answer.h"

#include "buckthornmux/detail/target/target_codec.h"

namespace buckthornmux::target {
namespace {

using net::HttpResponse;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

sched::StartAnswered ParseStartAnswer(const Outcome<HttpResponse>& outcome) {
  sched::StartAnswered answer;
  if (const auto* error = std::get_if<Error>(&outcome)) {
    answer.may_run = error->kind != ErrorKind::kPeerUnreachable;
    answer.error = ErrorKind::kTargetUnreachable;
    return answer;
  }
  const auto& response = std::get<HttpResponse>(outcome);
  switch (response.status) {
    case kOk:
      answer.accepted = true;
      break;
    case kConflict:
      answer.error = ParseRefusal(response.body) == Refusal::kStaleEpoch
                         ? ErrorKind::kOwnerStale
                         : ErrorKind::kTargetRefused;
      break;
    case kBadRequest:
    case kNotFound:
    case kTooLarge:
    case kTooManyRequests:
    case kUnavailable:
      break;
    default:
      answer.may_run = true;
  }
  return answer;
}

}  // namespace buckthornmux::target
