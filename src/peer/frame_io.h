/// Frames on a peer connection: a big-endian length, then that many bytes.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornmux::peer {

inline constexpr std::uint32_t kMaxFrameBytes = 8 << 20;

/// @brief Reads one frame.
/// @return its bytes, or nothing when the connection ended or broke the rules
inline boost::asio::awaitable<std::optional<std::string>> ReadFrame(
    boost::asio::ip::tcp::socket& socket) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  std::uint32_t length = 0;
  co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)),
                            asio::redirect_error(asio::use_awaitable, error));
  boost::endian::big_to_native_inplace(length);
  if (error || length > kMaxFrameBytes) {
    co_return std::nullopt;
  }
  std::string bytes(length, '\0');
  co_await asio::async_read(socket, asio::buffer(bytes),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  co_return bytes;
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
