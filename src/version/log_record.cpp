#include "version/log_record.h"

#include "base/digest.h"

#include <array>
#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

using nlohmann::json;

struct OutcomeRow
{
  OutcomeKind kind_;
  std::string_view name_;
};

constexpr std::array kOutcomeTable{
  OutcomeRow{ OutcomeKind::kDone, "done" },
  OutcomeRow{ OutcomeKind::kNotRun, "not_run" },
  OutcomeRow{ OutcomeKind::kUnknown, "unknown" },
};

auto OutcomeName(OutcomeKind aKind) -> std::string_view
{
  for (const auto& row : kOutcomeTable) {
    if (row.kind_ == aKind) {
      return row.name_;
    }
  }
  return "unknown";
}

auto ParseOutcome(const std::string& aName) -> OutcomeKind
{
  for (const auto& row : kOutcomeTable) {
    if (row.name_ == aName) {
      return row.kind_;
    }
  }
  throw std::invalid_argument("unknown outcome");
}

auto ToJson(const AttemptId& aAttempt) -> json
{
  return json::array(
    { aAttempt.router_.value_, aAttempt.incarnation_, aAttempt.sequence_ });
}

auto ParseAttempt(const json& aJson) -> AttemptId
{
  return { RouterId{ aJson.at(0).get<std::int32_t>() },
           aJson.at(1).get<std::int64_t>(), aJson.at(2).get<std::int64_t>() };
}

struct RecordEncoder
{
  auto operator()(const ConfigChange& aChange) const -> json
  {
    return { { "type", "change" },
             { "id", aChange.changeId_ },
             { "base", aChange.base_ },
             { "operator", aChange.operator_ },
             { "text", aChange.text_ } };
  }

  auto operator()(const ConfigSnapshot& aSnapshot) const -> json
  {
    return { { "type", "snapshot" },
             { "version", aSnapshot.version_ },
             { "judged_to", aSnapshot.decidedTo_ },
             { "id", aSnapshot.changeId_ },
             { "text", aSnapshot.text_ } };
  }

  auto operator()(const ClaimRecord& aClaim) const -> json
  {
    return { { "type", "claim" },
             { "key", aClaim.key_ },
             { "attempt", ToJson(aClaim.attempt_) },
             { "key_ms", aClaim.keyMillis_ } };
  }

  auto operator()(const OutcomeRecord& aOutcome) const -> json
  {
    return { { "type", "outcome" },
             { "key", aOutcome.key_ },
             { "attempt", ToJson(aOutcome.attempt_) },
             { "kind", OutcomeName(aOutcome.kind_) },
             { "status", aOutcome.status_ },
             { "body", aOutcome.body_ } };
  }

  auto operator()(const LeaseRecord& aLease) const -> json
  {
    return { { "type", "lease" },
             { "resource", aLease.resource_ },
             { "holder", ToJson(aLease.holder_) },
             { "length_us", aLease.length_.count() } };
  }
};

auto ParseRecord(const json& aJson) -> LogRecord
{
  const auto type = aJson.at("type").get<std::string>();
  if (type == "change") {
    return ConfigChange{ aJson.at("id"), aJson.at("base"), aJson.at("operator"),
                         aJson.at("text") };
  }
  if (type == "snapshot") {
    return ConfigSnapshot{ aJson.at("version"), aJson.at("judged_to"),
                           aJson.at("id"), aJson.at("text") };
  }
  if (type == "claim") {
    return ClaimRecord{ aJson.at("key"), ParseAttempt(aJson.at("attempt")),
                        aJson.at("key_ms") };
  }
  if (type == "outcome") {
    return OutcomeRecord{ aJson.at("key"), ParseAttempt(aJson.at("attempt")),
                          ParseOutcome(aJson.at("kind")), aJson.at("status"),
                          aJson.at("body") };
  }
  if (type == "lease") {
    return LeaseRecord{ aJson.at("resource"), ParseAttempt(aJson.at("holder")),
                        Duration(aJson.at("length_us").get<std::int64_t>()) };
  }
  throw std::invalid_argument("unknown record type");
}

} // namespace

auto EncodeRecords(const std::vector<LogRecord>& aRecords) -> std::string
{
  auto rows = json::array();
  for (const auto& record : aRecords) {
    rows.push_back(std::visit(RecordEncoder{}, record));
  }
  return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto DecodeRecords(std::string_view aPayload)
  -> absl::StatusOr<std::vector<LogRecord>>
{
  std::vector<LogRecord> records;
  try {
    const auto rows = json::parse(aPayload);
    if (!rows.is_array()) {
      return absl::InvalidArgumentError("payload is not an array of records");
    }
    for (const auto& row : rows) {
      records.push_back(ParseRecord(row));
    }
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return records;
}

auto MakeChangeId(ConfigNumber aBase, std::string_view aText) -> std::string
{
  return Sha256Hex(std::to_string(aBase) + '\n' + std::string(aText));
}

} // namespace burdockring
