#include "buckthornmux/detail/front/operator_calls.h"

#include <string>
#include <string_view>

#include "buckthornmux/detail/config/operator_api.h"
#include "buckthornmux/detail/front/error_response.h"
#include "buckthornmux/detail/net/url.h"

namespace buckthornmux::front {
namespace {

constexpr std::string_view kKeysPath = "/v1/keys";

Result<std::string> Dispatch(const store::Store& store,
                             const net::HttpRequest& request, WallMillis now) {
  BOOST_LEAF_AUTO(target, net::ParseTarget(request.target));
  const std::string_view path = target.path;
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path == "/v1/config" && get) {
    return config::GetConfigCall(store);
  }
  if (path == "/v1/config" && post) {
    return config::PostConfigCall(store, request.body, now);
  }
  if (path == kKeysPath && get) {
    return config::ListKeysCall(store);
  }
  if (path == kKeysPath && post) {
    return config::GrantKeyCall(store, request.body, now);
  }
  if (path.starts_with(kKeysPath) && request.method == "DELETE" &&
      path.size() > kKeysPath.size() + 1) {
    return config::WithdrawKeyCall(store, path.substr(kKeysPath.size() + 1),
                                   target.Param("who"), now);
  }
  if (path == "/v1/audit" && get) {
    return config::ListAuditCall(store);
  }
  return Fail(ErrorKind::kNotFound, "no such call; see docs/API.md",
              std::string(path));
}

}  // namespace

net::HttpResponse AnswerOperator(const store::Store& store,
                                 const net::HttpRequest& request,
                                 WallMillis now) {
  auto outcome = Capture([&] { return Dispatch(store, request, now); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return ErrorResponse(*error);
  }
  return {.body = std::get<std::string>(std::move(outcome))};
}

}  // namespace buckthornmux::front
