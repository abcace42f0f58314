#include "buckthornmux/detail/net/url.h"

#include <boost/url/parse.hpp>
// Debian's Boost 1.81 has no compiled Boost.URL library. Including src.hpp in
// one source file is the supported way to build it.
#include <boost/url/src.hpp>
#include <boost/url/url.hpp>
#include <charconv>

namespace buckthornmux::net {

std::string_view RequestTarget::Param(std::string_view name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string_view() : found->second;
}

std::uint64_t RequestTarget::Number(std::string_view name,
                                    std::uint64_t fallback) const {
  const std::string_view text = Param(name);
  std::uint64_t value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return code == std::errc() && end == text.data() + text.size() ? value
                                                                 : fallback;
}

Result<RequestTarget> ParseTarget(std::string_view text) {
  const auto view = boost::urls::parse_origin_form(text);
  if (view.has_error()) {
    return Fail(ErrorKind::kMalformed, "expected a path with a query",
                std::string(text.substr(0, 80)));
  }
  RequestTarget target;
  target.path = view->path();
  for (const auto& param : view->params()) {
    target.query.insert_or_assign(param.key, param.value);
  }
  return target;
}

std::string FormatTarget(const RequestTarget& target) {
  boost::urls::url url;
  url.set_path(target.path);
  for (const auto& [name, value] : target.query) {
    url.params().append({name, value});
  }
  const auto text = url.buffer();
  return {text.data(), text.size()};
}

}  // namespace buckthornmux::net
