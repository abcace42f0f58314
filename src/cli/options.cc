#include "buckthornmux/detail/cli/options.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>

#include "buckthornmux/detail/net/address.h"

namespace buckthornmux::cli {
namespace {

constexpr const char* kKeyVariable = "BUCKTHORNMUX_KEY";
constexpr std::int64_t kMaxTimeoutMs = 600'000;

std::string Environment(const char* name) {
  // Read before any other thread could change the environment.
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? std::string() : std::string(value);
}

std::string Trimmed(const std::string& text) {
  constexpr const char* kBlank = " \t\r\n";
  const auto first = text.find_first_not_of(kBlank);
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

Result<std::string> ReadKey(const cxxopts::ParseResult& parsed) {
  if (parsed.count("key-file") == 0) {
    return Environment(kKeyVariable);
  }
  const auto path = parsed["key-file"].as<std::string>();
  BOOST_LEAF_AUTO(text, ReadFile(path));
  std::string key = Trimmed(text);
  if (key.empty()) {
    return Fail(ErrorKind::kFileUnreadable,
                "the file holds no key: put one in, as `keys grant` prints it",
                path);
  }
  return key;
}

}  // namespace

Result<std::optional<cxxopts::ParseResult>> ParseArguments(
    cxxopts::Options& options, std::string_view examples,
    const Arguments& arguments, Terminal& terminal) {
  try {
    options.add_options()("h,help", "Show this help");
    auto parsed =
        options.parse(static_cast<int>(arguments.size()), arguments.data());
    if (parsed.count("help") > 0) {
      terminal.out << options.help() << "\nExamples:\n" << examples;
      return std::optional<cxxopts::ParseResult>();
    }
    if (!parsed.unmatched().empty()) {
      return Fail(ErrorKind::kUsage,
                  "unexpected \"" + parsed.unmatched().front() + "\": see " +
                      options.program() + " --help");
    }
    return std::optional(std::move(parsed));
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail(ErrorKind::kUsage, std::string(error.what()) + ": see " +
                                       options.program() + " --help");
  }
}

void AddEntryOptions(cxxopts::Options& options) {
  options.add_options("entry host")(
      "entry", "Entry host as IP:port; may be repeated: the next one is tried",
      cxxopts::value<std::vector<std::string>>(), "IP:PORT")(
      "key-file",
      std::string("File with the key; else the environment's ") + kKeyVariable,
      cxxopts::value<std::string>(),
      "FILE")("timeout-ms", "Longest wait for one answer",
              cxxopts::value<std::int64_t>()->default_value("20000"),
              "MS")("json", "Print the answer as JSON");
}

void AddWhoOption(cxxopts::Options& options) {
  options.add_options("audit")(
      "who", "Your name for the audit trail; else the environment's USER",
      cxxopts::value<std::string>(), "NAME");
}

void AddDocumentsOption(cxxopts::Options& options) {
  options.add_options()("files", "Inventory and rules",
                        cxxopts::value<std::vector<std::string>>());
  options.parse_positional("files");
  options.positional_help("FILE...");
}

Result<EntryOptions> ReadEntryOptions(const cxxopts::ParseResult& parsed) {
  EntryOptions options;
  if (parsed.count("entry") == 0) {
    return Fail(ErrorKind::kUsage,
                "no entry host is given: add --entry IP:port");
  }
  options.entries = parsed["entry"].as<std::vector<std::string>>();
  for (const std::string& entry : options.entries) {
    if (auto address = net::ParseAddress(entry); !address) {
      return address.error();
    }
  }
  const auto timeout = parsed["timeout-ms"].as<std::int64_t>();
  if (timeout < 1 || timeout > kMaxTimeoutMs) {
    return Fail(ErrorKind::kUsage,
                "--timeout-ms takes 1 to " + std::to_string(kMaxTimeoutMs));
  }
  options.timeout = Millis(timeout);
  BOOST_LEAF_ASSIGN(options.key, ReadKey(parsed));
  return options;
}

Result<std::string> ReadWho(const cxxopts::ParseResult& parsed) {
  std::string who = TextOption(parsed, "who");
  if (who.empty()) {
    who = Environment("USER");
  }
  if (who.empty()) {
    return Fail(ErrorKind::kUsage,
                "nobody to name in the audit trail: add "
                "--who NAME");
  }
  return who;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return Fail(ErrorKind::kFileUnreadable,
                "can't read the file: check its name and rights", path);
  }
  return text;
}

Result<std::vector<config::Document>> ReadDocuments(
    const cxxopts::ParseResult& parsed) {
  std::vector<config::Document> documents;
  if (parsed.count("files") == 0) {
    return Fail(ErrorKind::kUsage,
                "no documents are given: name an inventory and a rules file");
  }
  for (const auto& path : parsed["files"].as<std::vector<std::string>>()) {
    BOOST_LEAF_AUTO(text, ReadFile(path));
    documents.push_back({path, std::move(text)});
  }
  return documents;
}

std::string TextOption(const cxxopts::ParseResult& parsed,
                       const std::string& name) {
  return parsed.count(name) == 0 ? std::string()
                                 : parsed[name].as<std::string>();
}

}  // namespace buckthornmux::cli
