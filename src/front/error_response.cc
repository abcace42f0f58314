#include "buckthornmux/detail/front/error_response.h"

#include <string>

#include "buckthornmux/detail/front/job_codec.h"

namespace buckthornmux::front {

net::HttpResponse ErrorResponse(ErrorKind kind, std::string_view message,
                                Ran ran, Millis retry_after) {
  return {.status = AnswerFor(kind).http_status,
          .body = ErrorJson(kind, message, ran, retry_after),
          .retry_after = retry_after};
}

net::HttpResponse ErrorResponse(ErrorKind kind) {
  const ErrorAnswer& answer = AnswerFor(kind);
  return ErrorResponse(kind, answer.advice, answer.ran, answer.retry_after);
}

net::HttpResponse ErrorResponse(const Error& error) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  const std::string message =
      error.where.empty() ? error.message : error.where + ": " + error.message;
  return ErrorResponse(error.kind, message, answer.ran, answer.retry_after);
}

}  // namespace buckthornmux::front
