/// Options that commands share, on top of cxxopts.
#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cli/command.h"
#include "buckthornmux/detail/cli/entry_client.h"
#include "buckthornmux/detail/config/documents.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cli {

/// @brief Parses a command's arguments; prints help where it is asked for.
/// @param options declared by the command; --help is added
/// @param examples lines shown below the options
/// @return the values; nullopt where help was printed; kUsage
[[nodiscard]] Result<std::optional<cxxopts::ParseResult>> ParseArguments(
    cxxopts::Options& options, std::string_view examples,
    const Arguments& arguments, Terminal& terminal);

/// @brief Adds --entry, --key-file, --timeout-ms and --json.
void AddEntryOptions(cxxopts::Options& options);

/// @brief Adds --who.
void AddWhoOption(cxxopts::Options& options);

/// @brief Adds the documents, which are named without an option.
/// @see ReadDocuments
void AddDocumentsOption(cxxopts::Options& options);

/// @brief Reads what AddEntryOptions added.
/// @return kUsage where no entry host is given; kFileUnreadable
[[nodiscard]] Result<EntryOptions> ReadEntryOptions(
    const cxxopts::ParseResult& parsed);

/// @brief Operator's name: --who, else the environment's USER.
[[nodiscard]] Result<std::string> ReadWho(const cxxopts::ParseResult& parsed);

/// @brief Reads a whole file; kFileUnreadable.
[[nodiscard]] Result<std::string> ReadFile(const std::string& path);

/// @brief Reads the documents named on the command line.
[[nodiscard]] Result<std::vector<config::Document>> ReadDocuments(
    const cxxopts::ParseResult& parsed);

/// @brief Text of an option, or empty where it isn't given.
[[nodiscard]] std::string TextOption(const cxxopts::ParseResult& parsed,
                                     const std::string& name);

}  // namespace buckthornmux::cli
