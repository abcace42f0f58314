#include "buckthornmux/detail/store/host_list.h"

#include <boost/json.hpp>

namespace buckthornmux::store {
namespace {

namespace json = boost::json;

boost::leaf::error_id InvalidHostList() {
  return Fail(ErrorKind::kMalformed,
              R"(expected {"hosts":[{"host":...,"state":"live|leaving"}]})",
              "host list");
}

}  // namespace

Result<std::vector<HostState>> ParseHostList(std::string_view text) {
  boost::system::error_code error;
  const json::value document = json::parse(text, error);
  const auto* hosts = document.is_object()
                          ? document.as_object().if_contains("hosts")
                          : nullptr;
  if (error || hosts == nullptr || !hosts->is_array()) {
    return InvalidHostList();
  }
  std::vector<HostState> states;
  for (const json::value& item : hosts->as_array()) {
    const auto* host =
        item.is_object() ? item.as_object().if_contains("host") : nullptr;
    const auto* state =
        item.is_object() ? item.as_object().if_contains("state") : nullptr;
    if (host == nullptr || !host->is_string() || state == nullptr ||
        !state->is_string()) {
      return InvalidHostList();
    }
    const bool leaving = state->as_string() == "leaving";
    states.push_back({std::string(host->as_string()), leaving});
  }
  return states;
}

Result<std::vector<HostState>> FetchHostList(net::HttpClient& client,
                                             std::string_view address,
                                             Millis timeout) {
  const auto outcome =
      client.CallAndWait(address, {.target = "/v1/hosts"}, timeout);
  const auto* response = std::get_if<net::HttpResponse>(&outcome);
  if (response == nullptr || response->status != 200) {
    return Fail(ErrorKind::kStoreUnavailable,
                "the host list service did not answer", std::string(address));
  }
  return ParseHostList(response->body);
}

}  // namespace buckthornmux::store
