#include "process/node/request_table.h"

namespace burdockring {

auto RequestTable::Add(RequestRecord aRecord) -> RequestRecord&
{
  const auto id = aRecord.arrival_.id_;
  return records_.insert_or_assign(id, std::move(aRecord)).first->second;
}

auto RequestTable::Find(RequestId aId) -> RequestRecord*
{
  const auto found = records_.find(aId);
  return found == records_.end() ? nullptr : &found->second;
}

auto RequestTable::FindAttempt(RequestId aId, int aAttempt) -> RequestRecord*
{
  auto* record = Find(aId);
  if (record == nullptr || record->attempt_ != aAttempt) {
    return nullptr;
  }
  const auto state = record->machine_.State();
  const bool isInProgress =
    state == RequestState::kConnecting || state == RequestState::kRunning ||
    state == RequestState::kReconnecting || state == RequestState::kRerunning;
  return isInProgress ? record : nullptr;
}

auto RequestTable::Erase(RequestId aId) -> void
{
  records_.erase(aId);
}

auto RequestTable::Size() const -> std::size_t
{
  return records_.size();
}

} // namespace burdockring
