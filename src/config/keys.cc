#include "buckthornmux/detail/config/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <vector>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::config {
namespace {

constexpr std::size_t kIdBytes = 6;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kSecretBytes = 32;
constexpr std::string_view kBearer = "Bearer ";

template <class Bytes>
std::string Hex(const Bytes& bytes) {
  std::string text;
  boost::algorithm::hex_lower(bytes, std::back_inserter(text));
  return text;
}

bool SameText(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string SaltedHash(std::string_view salt, std::string_view secret) {
  return Sha256Hex(std::string(salt) + ":" + std::string(secret));
}

}  // namespace

Result<std::string> RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    return Fail(ErrorKind::kInternal,
                "no random bytes to be had: check the machine's entropy");
  }
  return Hex(buffer);
}

std::string Sha256Hex(std::string_view text) {
  std::vector<unsigned char> digest(EVP_MAX_MD_SIZE);
  unsigned int size = 0;
  const int done = EVP_Digest(text.data(), text.size(), digest.data(), &size,
                              EVP_sha256(), nullptr);
  Invariant(done == 1, "sha256_available");
  digest.resize(size);
  return Hex(digest);
}

Result<GrantedKey> MakeKey(const Config& config, std::string_view team) {
  if (std::ranges::find(config.teams, team, &Team::name) ==
      config.teams.end()) {
    return Fail(ErrorKind::kNotFound,
                "no team \"" + std::string(team) +
                    "\" is declared: add it to the rules and apply them first");
  }
  GrantedKey key;
  key.stored.team = team;
  do {
    BOOST_LEAF_ASSIGN(key.stored.id, RandomHex(kIdBytes));
  } while (std::ranges::find(config.keys, key.stored.id, &TeamKey::id) !=
           config.keys.end());
  BOOST_LEAF_ASSIGN(key.stored.salt, RandomHex(kSaltBytes));
  BOOST_LEAF_AUTO(secret, RandomHex(kSecretBytes));
  key.stored.hash = SaltedHash(key.stored.salt, secret);
  key.text = key.stored.id + "." + secret;
  return key;
}

const TeamKey* MatchKey(const Config& config, std::string_view presented) {
  const auto dot = presented.find('.');
  if (dot == std::string_view::npos) {
    return nullptr;
  }
  const std::string_view id = presented.substr(0, dot);
  const auto found = std::ranges::find(config.keys, id, &TeamKey::id);
  // A key without salt or hash comes from a form that left them out.
  if (found == config.keys.end() || found->salt.empty()) {
    return nullptr;
  }
  const std::string hash = SaltedHash(found->salt, presented.substr(dot + 1));
  return SameText(hash, found->hash) ? &*found : nullptr;
}

bool IsOperatorKey(std::string_view key_sha256, std::string_view presented) {
  return !presented.empty() && SameText(Sha256Hex(presented), key_sha256);
}

std::string_view BearerKey(std::string_view authorization) {
  return authorization.starts_with(kBearer)
             ? authorization.substr(kBearer.size())
             : std::string_view();
}

}  // namespace buckthornmux::config
