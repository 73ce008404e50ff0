#include "measure/sim_log.h"

#include <algorithm>

namespace burdockring {

auto SimLog::Append(std::string aPayload) -> bool
{
  if (down_) {
    return false;
  }
  ++appends_;
  payloads_.push_back(std::move(aPayload));
  if (loseReplies_ > 0) {
    --loseReplies_;
    return false;
  }
  return true;
}

auto SimLog::Read(LogOffset aFrom) const -> LogRead
{
  LogRead read;
  read.first_ = std::clamp(aFrom, first_, End());
  read.next_ = End();
  read.atEnd_ = true;
  for (auto offset = read.first_; offset < End(); ++offset) {
    read.entries_.push_back(
      { offset, payloads_[static_cast<std::size_t>(offset - first_)] });
  }
  return read;
}

auto SimLog::Forget(LogOffset aBefore) -> void
{
  while (first_ < aBefore && !payloads_.empty()) {
    payloads_.pop_front();
    ++first_;
  }
}

auto SimLog::End() const -> LogOffset
{
  return first_ + static_cast<LogOffset>(payloads_.size());
}

auto SimLog::Appends() const -> std::int64_t
{
  return appends_;
}

} // namespace burdockring
