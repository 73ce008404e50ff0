#include "connection/stream_line.h"

#include "absl/status/status.h"

#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

using nlohmann::json;

auto ToJson(const StreamLine& aLine) -> json
{
  if (aLine.end_) {
    return { { "end", true }, { "tokens", aLine.tokens_ } };
  }
  return { { "index", aLine.index_ }, { "text", aLine.text_ } };
}

auto Dump(const json& aJson) -> std::string
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace

auto ParseStreamLine(std::string_view aLine) -> absl::StatusOr<StreamLine>
{
  StreamLine line;
  try {
    const auto row = json::parse(aLine);
    line.requestId_ = row.at("request_id").get<std::string>();
    line.end_ = row.value("end", false);
    if (line.end_) {
      line.tokens_ = row.at("tokens").get<int>();
    } else {
      line.index_ = row.at("index").get<int>();
      line.text_ = row.at("text").get<std::string>();
    }
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return line;
}

auto CallerLine(const StreamLine& aLine) -> std::string
{
  return Dump(ToJson(aLine));
}

auto EngineLine(const StreamLine& aLine) -> std::string
{
  auto row = ToJson(aLine);
  row["request_id"] = aLine.requestId_;
  return Dump(row);
}

} // namespace burdockring
