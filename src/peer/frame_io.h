/// Frames on a peer connection: a big-endian length, then that many bytes.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "buckthornmux/detail/net/request_budget.h"

namespace buckthornmux::peer {

inline constexpr std::uint32_t kMaxFrameBytes = 8 << 20;
/// Bound of a Hello, a Ping or a Pong. Frames up to this size are read without
/// accounting; the number of connections bounds them.
inline constexpr std::uint32_t kMaxSmallFrameBytes = 4 << 10;
/// A larger frame is read in parts of this size. Its memory doubles as they
/// arrive.
inline constexpr std::size_t kFramePartBytes = 64 << 10;
/// Each part arrives within this time: 13 KB a second, 1 % of the slowest link.
inline constexpr std::chrono::seconds kFramePartTimeout{5};

/// A frame that was read, or why there is none.
struct FrameResult {
  std::optional<std::string> bytes;
  bool over_limit = false;  ///< It is too long, or the budget is used up.
};

/// @brief Reads a part of a larger frame; closes the socket after
///   kFramePartTimeout.
inline boost::asio::awaitable<bool> ReadFramePart(
    boost::asio::ip::tcp::socket& socket, std::span<char> space) {
  namespace asio = boost::asio;
  // Shared with the timer's handler, which may run after the read has ended.
  auto ended = std::make_shared<bool>(false);
  asio::steady_timer timer(socket.get_executor(), kFramePartTimeout);
  timer.async_wait([ended, &socket](boost::system::error_code cancelled) {
    if (!cancelled && !*ended) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  boost::system::error_code error;
  co_await asio::async_read(socket, asio::buffer(space.data(), space.size()),
                            asio::redirect_error(asio::use_awaitable, error));
  *ended = true;
  co_return !error;
}

/// @brief Reads one frame. Its memory grows as the bytes arrive, within the
///   share, which the caller releases when it has used the frame.
/// @param most greatest length
/// @return nothing when the connection ended or broke the rules
inline boost::asio::awaitable<FrameResult> ReadFrame(
    boost::asio::ip::tcp::socket& socket, std::uint32_t most,
    net::BudgetShare& share) {
  namespace asio = boost::asio;
  FrameResult result;
  boost::system::error_code error;
  std::uint32_t length = 0;
  co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)),
                            asio::redirect_error(asio::use_awaitable, error));
  boost::endian::big_to_native_inplace(length);
  if (error || length > most) {
    result.over_limit = !error;
    co_return result;
  }
  std::string bytes;
  if (length <= kMaxSmallFrameBytes) {
    bytes.resize(length);
    co_await asio::async_read(socket, asio::buffer(bytes),
                              asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      result.bytes = std::move(bytes);
    }
    co_return result;
  }
  for (std::size_t begin = 0; begin < length;) {
    if (begin == bytes.size()) {
      const std::size_t size =
          std::min<std::size_t>(length, std::max(kFramePartBytes, 2 * begin));
      if (!share.Resize(size)) {
        result.over_limit = true;
        co_return result;
      }
      bytes.resize(size);
    }
    const std::size_t count = std::min(kFramePartBytes, bytes.size() - begin);
    const std::span<char> space = std::span(bytes).subspan(begin, count);
    if (!co_await ReadFramePart(socket, space)) {
      co_return result;
    }
    begin += count;
  }
  result.bytes = std::move(bytes);
  co_return result;
}

/// @brief Writes one frame.
/// @return false when the connection broke
inline boost::asio::awaitable<bool> WriteFrame(
    boost::asio::ip::tcp::socket& socket, std::string_view bytes) {
  namespace asio = boost::asio;
  const std::uint32_t length =
      boost::endian::native_to_big(static_cast<std::uint32_t>(bytes.size()));
  const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(&length, sizeof(length)),
      asio::buffer(bytes.data(), bytes.size())};
  boost::system::error_code error;
  co_await asio::async_write(socket, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

}  // namespace buckthornmux::peer
