#include "wire/row_columns.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring::wire {
namespace {

constexpr std::size_t kIdBytes = 4;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kByteMask = 0xFF;

auto AddId(std::string* aColumn, std::int32_t aId) -> void
{
  const auto bits = static_cast<std::uint32_t>(aId);
  for (unsigned i = 0; i < kIdBytes; ++i) {
    *aColumn += static_cast<char>((bits >> (i * kByteBits)) & kByteMask);
  }
}

auto IdAt(std::string_view aColumn, std::size_t aRow) -> std::int32_t
{
  std::uint32_t bits = 0;
  for (unsigned i = 0; i < kIdBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aColumn[aRow * kIdBytes + i]);
    bits |= static_cast<std::uint32_t>(byte) << (i * kByteBits);
  }
  return static_cast<std::int32_t>(bits);
}

auto HoldsIds(const std::string& aColumn, std::size_t aRows) -> bool
{
  return aColumn.size() == aRows * kIdBytes;
}

auto PackDemand(std::vector<DemandRow>* aRows, RowColumns* aColumns) -> void
{
  std::vector<DemandRow> others;
  DemandColumns columns;
  for (auto& row : *aRows) {
    if (row.__isset.tag || row.__isset.estimate) {
      others.push_back(std::move(row));
      continue;
    }
    AddId(&columns.accounts, row.account);
    columns.waiting.push_back(row.waiting);
    columns.charged.push_back(row.charged);
  }
  *aRows = std::move(others);
  if (!columns.waiting.empty()) {
    aColumns->__set_demand(columns);
  }
}

auto PackHeld(std::vector<HeldRow>* aRows, RowColumns* aColumns) -> void
{
  HeldColumns columns;
  for (const auto& row : std::exchange(*aRows, {})) {
    AddId(&columns.targets, row.target);
    columns.held.push_back(row.held);
    columns.idle.push_back(row.idle);
  }
  if (!columns.held.empty()) {
    aColumns->__set_held(columns);
  }
}

auto PackGrants(std::vector<GrantRow>* aRows, RowColumns* aColumns) -> void
{
  GrantColumns columns;
  for (const auto& row : std::exchange(*aRows, {})) {
    AddId(&columns.targets, row.target);
    columns.counts.push_back(row.count);
    AddId(&columns.accounts, row.account);
  }
  if (!columns.counts.empty()) {
    aColumns->__set_grants(columns);
  }
}

auto PackTags(std::vector<TagRow>* aRows,
              std::int64_t aFloor,
              RowColumns* aColumns) -> void
{
  TagColumns columns;
  for (const auto& row : std::exchange(*aRows, {})) {
    AddId(&columns.accounts, row.account);
    columns.tags.push_back(row.tag - aFloor);
  }
  if (!columns.tags.empty()) {
    aColumns->__set_tags(columns);
  }
}

auto PackExchange(ZoneExchange* aExchange, RowColumns* aColumns) -> void
{
  ExchangeColumns columns;
  for (const auto& row : std::exchange(aExchange->rows, {})) {
    AddId(&columns.accounts, row.account);
    columns.charged.push_back(row.charged);
    columns.tags.push_back(row.tag - aExchange->virtualTime);
  }
  if (!columns.charged.empty()) {
    aColumns->__set_exchange(columns);
  }
}

auto UnpackDemand(const DemandColumns& aColumns, std::vector<DemandRow>* aRows)
  -> bool
{
  const auto count = aColumns.waiting.size();
  if (!HoldsIds(aColumns.accounts, count) || aColumns.charged.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    DemandRow row;
    row.account = IdAt(aColumns.accounts, i);
    row.waiting = aColumns.waiting[i];
    row.charged = aColumns.charged[i];
    aRows->push_back(row);
  }
  return true;
}

auto UnpackHeld(const HeldColumns& aColumns, std::vector<HeldRow>* aRows)
  -> bool
{
  const auto count = aColumns.held.size();
  if (!HoldsIds(aColumns.targets, count) || aColumns.idle.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    HeldRow row;
    row.target = IdAt(aColumns.targets, i);
    row.held = aColumns.held[i];
    row.idle = aColumns.idle[i];
    aRows->push_back(row);
  }
  return true;
}

auto UnpackGrants(const GrantColumns& aColumns, std::vector<GrantRow>* aRows)
  -> bool
{
  const auto count = aColumns.counts.size();
  if (!HoldsIds(aColumns.targets, count) ||
      !HoldsIds(aColumns.accounts, count)) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    GrantRow row;
    row.target = IdAt(aColumns.targets, i);
    row.count = aColumns.counts[i];
    row.account = IdAt(aColumns.accounts, i);
    aRows->push_back(row);
  }
  return true;
}

/// Sums wrap, so that hostile numbers do no harm.
auto AddWrapping(std::int64_t aLeft, std::int64_t aRight) -> std::int64_t
{
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(aLeft) +
                                   static_cast<std::uint64_t>(aRight));
}

auto UnpackTags(const TagColumns& aColumns,
                std::int64_t aFloor,
                std::vector<TagRow>* aRows) -> bool
{
  const auto count = aColumns.tags.size();
  if (!HoldsIds(aColumns.accounts, count)) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    TagRow row;
    row.account = IdAt(aColumns.accounts, i);
    row.tag = AddWrapping(aColumns.tags[i], aFloor);
    aRows->push_back(row);
  }
  return true;
}

auto UnpackExchange(const ExchangeColumns& aColumns, ZoneExchange* aExchange)
  -> bool
{
  const auto count = aColumns.charged.size();
  if (!HoldsIds(aColumns.accounts, count) || aColumns.tags.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    ExchangeRow row;
    row.account = IdAt(aColumns.accounts, i);
    row.charged = aColumns.charged[i];
    row.tag = AddWrapping(aColumns.tags[i], aExchange->virtualTime);
    aExchange->rows.push_back(row);
  }
  return true;
}

} // namespace

auto PackRows(Envelope* aEnvelope) -> void
{
  RowColumns columns;
  if (aEnvelope->__isset.demand) {
    PackDemand(&aEnvelope->demand.demand, &columns);
    PackHeld(&aEnvelope->demand.held, &columns);
  }
  if (aEnvelope->__isset.grants) {
    PackGrants(&aEnvelope->grants.grants, &columns);
    PackTags(&aEnvelope->grants.tags, aEnvelope->grants.floor, &columns);
  }
  if (aEnvelope->__isset.exchange) {
    PackExchange(&aEnvelope->exchange, &columns);
  }
  const auto& set = columns.__isset;
  if (set.demand || set.held || set.grants || set.tags || set.exchange) {
    aEnvelope->__set_columns(columns);
  }
}

auto UnpackRows(Envelope* aEnvelope) -> absl::Status
{
  const auto columns = std::exchange(aEnvelope->columns, {});
  aEnvelope->__isset.columns = false;
  const auto& set = columns.__isset;
  const bool whole =
    (!set.demand || UnpackDemand(columns.demand, &aEnvelope->demand.demand)) &&
    (!set.held || UnpackHeld(columns.held, &aEnvelope->demand.held)) &&
    (!set.grants || UnpackGrants(columns.grants, &aEnvelope->grants.grants)) &&
    (!set.tags || UnpackTags(columns.tags, aEnvelope->grants.floor,
                             &aEnvelope->grants.tags)) &&
    (!set.exchange || UnpackExchange(columns.exchange, &aEnvelope->exchange));
  return whole ? absl::OkStatus()
               : absl::InvalidArgumentError("columns of unequal lengths");
}

} // namespace burdockring::wire
