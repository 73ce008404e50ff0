#include "wire/row_columns.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockring::wire {
namespace {

constexpr std::size_t kIdBytes = 4;
constexpr std::size_t kPartBytes = 8;
constexpr unsigned kByteBits = 8;
constexpr std::uint64_t kByteMask = 0xFF;

/// Adds the lowest bytes of a number, the lowest first.
auto AddBytes(std::string* aColumn, std::int64_t aNumber, std::size_t aBytes)
  -> void
{
  const auto bits = static_cast<std::uint64_t>(aNumber);
  for (unsigned i = 0; i < aBytes; ++i) {
    *aColumn += static_cast<char>((bits >> (i * kByteBits)) & kByteMask);
  }
}

auto AddId(std::string* aColumn, std::int32_t aId) -> void
{
  AddBytes(aColumn, aId, kIdBytes);
}

auto BytesAt(std::string_view aColumn, std::size_t aRow, std::size_t aBytes)
  -> std::uint64_t
{
  std::uint64_t bits = 0;
  for (unsigned i = 0; i < aBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aColumn[aRow * aBytes + i]);
    bits |= static_cast<std::uint64_t>(byte) << (i * kByteBits);
  }
  return bits;
}

auto IdAt(std::string_view aColumn, std::size_t aRow) -> std::int32_t
{
  return static_cast<std::int32_t>(BytesAt(aColumn, aRow, kIdBytes));
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

auto PackLoad(LoadReport* aReport, RowColumns* aColumns) -> void
{
  TargetUseColumns targets;
  for (const auto& row : std::exchange(aReport->targets, {})) {
    AddId(&targets.targets, row.target);
    targets.prefillTokens.push_back(row.prefillTokens);
    targets.running.push_back(row.running);
    targets.memoryTokens.push_back(row.memoryTokens);
  }
  if (!targets.running.empty()) {
    aColumns->__set_targets(targets);
  }
  AccountUseColumns accounts;
  for (const auto& row : std::exchange(aReport->accounts, {})) {
    AddId(&accounts.accounts, row.account);
    accounts.askedTokens.push_back(row.askedTokens);
    accounts.givenTokens.push_back(row.givenTokens);
  }
  if (!accounts.askedTokens.empty()) {
    aColumns->__set_accounts(accounts);
  }
  PartReadColumns reads;
  for (const auto& row : std::exchange(aReport->reads, {})) {
    AddId(&reads.targets, row.target);
    AddBytes(&reads.parts, row.part, kPartBytes);
  }
  if (!reads.targets.empty()) {
    aColumns->__set_reads(reads);
  }
}

auto UnpackTargets(const TargetUseColumns& aColumns,
                   std::vector<TargetUse>* aRows) -> bool
{
  const auto count = aColumns.running.size();
  if (!HoldsIds(aColumns.targets, count) ||
      aColumns.prefillTokens.size() != count ||
      aColumns.memoryTokens.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    TargetUse row;
    row.target = IdAt(aColumns.targets, i);
    row.prefillTokens = aColumns.prefillTokens[i];
    row.running = aColumns.running[i];
    row.memoryTokens = aColumns.memoryTokens[i];
    aRows->push_back(row);
  }
  return true;
}

auto UnpackAccounts(const AccountUseColumns& aColumns,
                    std::vector<AccountUse>* aRows) -> bool
{
  const auto count = aColumns.askedTokens.size();
  if (!HoldsIds(aColumns.accounts, count) ||
      aColumns.givenTokens.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    AccountUse row;
    row.account = IdAt(aColumns.accounts, i);
    row.askedTokens = aColumns.askedTokens[i];
    row.givenTokens = aColumns.givenTokens[i];
    aRows->push_back(row);
  }
  return true;
}

auto UnpackReads(const PartReadColumns& aColumns, std::vector<PartRead>* aRows)
  -> bool
{
  const auto count = aColumns.parts.size() / kPartBytes;
  if (!HoldsIds(aColumns.targets, count) ||
      aColumns.parts.size() != count * kPartBytes) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    PartRead row;
    row.target = IdAt(aColumns.targets, i);
    row.part =
      static_cast<std::int64_t>(BytesAt(aColumns.parts, i, kPartBytes));
    aRows->push_back(row);
  }
  return true;
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
  if (aEnvelope->__isset.load) {
    PackLoad(&aEnvelope->load, &columns);
  }
  if (!(columns == RowColumns())) {
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
    (!set.exchange || UnpackExchange(columns.exchange, &aEnvelope->exchange)) &&
    (!set.targets ||
     UnpackTargets(columns.targets, &aEnvelope->load.targets)) &&
    (!set.accounts ||
     UnpackAccounts(columns.accounts, &aEnvelope->load.accounts)) &&
    (!set.reads || UnpackReads(columns.reads, &aEnvelope->load.reads));
  return whole ? absl::OkStatus()
               : absl::InvalidArgumentError("columns of unequal lengths");
}

} // namespace burdockring::wire
