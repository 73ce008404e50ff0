#ifndef BURDOCKRING_CONNECTION_STREAM_LINE_H
#define BURDOCKRING_CONNECTION_STREAM_LINE_H

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace burdockring {

/// One line of an engine's answer: a token, or the end mark with the count of
/// all tokens.
struct StreamLine
{
  std::string requestId_;
  bool end_ = false;
  int index_ = 0;
  int tokens_ = 0;
  std::string text_;
};

/// Parses an engine's line; InvalidArgument where it is none.
auto ParseStreamLine(std::string_view aLine) -> absl::StatusOr<StreamLine>;

/// The line that a caller gets: {"index","text"} or {"end":true,"tokens"}.
auto CallerLine(const StreamLine& aLine) -> std::string;

/// The line that an engine sends.
auto EngineLine(const StreamLine& aLine) -> std::string;

} // namespace burdockring

#endif
