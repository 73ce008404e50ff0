#include "process/forwarding/target_load.h"

#include <algorithm>

namespace burdockring {
namespace {

/// Of targets whose service isn't known.
const ReadingPace kUnknownPace;

/// More than any router has at one target; garbled counts stay within it, so
/// that the sums over all peers stay whole numbers.
constexpr int kMostOfPeer = 5'000'000;

auto AmountsOf(const wire::TargetUse& aUse) -> TargetAmounts
{
  return { std::clamp(aUse.running, 0, kMostOfPeer),
           std::clamp(aUse.prefillTokens, 0, kMostOfPeer),
           std::clamp(aUse.memoryTokens, 0, kMostOfPeer) };
}

} // namespace

auto TargetAmounts::operator+=(const TargetAmounts& aOther) -> TargetAmounts&
{
  running_ += aOther.running_;
  prefillTokens_ += aOther.prefillTokens_;
  memoryTokens_ += aOther.memoryTokens_;
  return *this;
}

auto TargetAmounts::operator-=(const TargetAmounts& aOther) -> TargetAmounts&
{
  running_ -= aOther.running_;
  prefillTokens_ -= aOther.prefillTokens_;
  memoryTokens_ -= aOther.memoryTokens_;
  return *this;
}

auto TargetLoad::DropOldParts(Instant aNow) -> void
{
  std::erase_if(parts_, [&](const auto& aEntry) {
    const auto& part = aEntry.second;
    return aNow - std::max(part.sentAt_, part.readAt_) > kPartLife;
  });
  if (parts_.size() >= kMaxParts) {
    parts_.clear();
  }
}

auto TargetLoad::Add(const TargetAmounts& aAmounts) -> void
{
  own_ += aAmounts;
}

auto TargetLoad::Remove(const TargetAmounts& aAmounts) -> void
{
  own_ -= aAmounts;
}

auto TargetLoad::ChangePeers(const TargetAmounts& aLess,
                             const TargetAmounts& aMore) -> void
{
  peers_ -= aLess;
  peers_ += aMore;
}

auto TargetLoad::NotePart(std::uint64_t aPart, Instant aNow) -> void
{
  if (parts_.size() >= kMaxParts) {
    DropOldParts(aNow);
  }
  auto& part = parts_[aPart];
  part.sentAt_ = aNow;
  part.sent_ = true;
}

auto TargetLoad::KeepsPart(std::uint64_t aPart, Instant aNow) const -> bool
{
  const auto found = parts_.find(aPart);
  return found != parts_.end() && found->second.sent_ &&
         aNow - found->second.sentAt_ <= kPartLife;
}

auto TargetLoad::NotePartRead(std::uint64_t aPart, bool aSeenHere, Instant aNow)
  -> bool
{
  if (parts_.size() >= kMaxParts) {
    DropOldParts(aNow);
  }
  auto& part = parts_[aPart];
  part.readAt_ = aNow;
  part.read_ = true;
  const bool known = part.told_ && aNow - part.toldAt_ < kTellAgain;
  if (!aSeenHere) {
    // Who else tells of it saves this router from doing so.
    part.toldAt_ = aNow;
    part.told_ = true;
    return false;
  }
  if (known) {
    return false;
  }
  part.toldAt_ = aNow;
  part.told_ = true;
  return true;
}

auto TargetLoad::HasReadPart(std::uint64_t aPart, Instant aNow) const -> bool
{
  const auto found = parts_.find(aPart);
  return found != parts_.end() && found->second.read_ &&
         aNow - found->second.readAt_ <= kPartLife;
}

auto TargetLoad::SetUsualPace(const ReadingPace* aUsual) -> void
{
  usual_ = aUsual;
}

auto TargetLoad::LearnPace(double aSample) -> void
{
  const auto& usual = usual_ == nullptr ? kUnknownPace : *usual_;
  const double sample =
    std::clamp(aSample / usual.MsPerToken(), kMinPace, kMaxPace);
  pace_ += kLearnWeight * (sample - pace_);
}

auto TargetLoad::OnSuccess() -> void
{
  failures_ = 0;
  avoidUntil_ = {};
}

auto TargetLoad::OnFailure(Instant aNow, bool aLonger) -> void
{
  const auto doublings = aLonger ? std::min(failures_, kMaxDoublings) : 0;
  avoidUntil_ = aNow + kFirstAvoidance * (1 << doublings);
  ++failures_;
}

auto TargetLoad::IsAvoided(Instant aNow) const -> bool
{
  return aNow < avoidUntil_;
}

auto TargetLoad::AvoidUntil() const -> Instant
{
  return avoidUntil_;
}

auto TargetLoad::RestUntil(Instant aUntil) -> void
{
  restsUntil_ = std::max(restsUntil_, aUntil);
}

auto TargetLoad::RestsUntil() const -> Instant
{
  return restsUntil_;
}

auto TargetLoad::Own() const -> const TargetAmounts&
{
  return own_;
}

auto TargetLoad::Total() const -> TargetAmounts
{
  auto total = own_;
  total += peers_;
  return total;
}

auto TargetLoad::PrefillTime(int aTokens) const -> Duration
{
  const auto ahead = own_.prefillTokens_ + peers_.prefillTokens_;
  const auto& usual = usual_ == nullptr ? kUnknownPace : *usual_;
  return usual.ReadingTime((ahead + aTokens) * pace_);
}

auto TargetLoad::Pace() const -> double
{
  return pace_;
}

auto LoadBook::Drop(const PeerUse& aUse) -> void
{
  for (const auto& entry : aUse.targets_) {
    At(TargetId{ entry.first }).ChangePeers(AmountsOf(entry.second), {});
  }
}

auto LoadBook::At(TargetId aTarget) -> TargetLoad&
{
  return loads_[aTarget];
}

auto LoadBook::Find(TargetId aTarget) const -> const TargetLoad*
{
  const auto found = loads_.find(aTarget);
  return found == loads_.end() ? nullptr : &found->second;
}

auto LoadBook::ForgetUnless(const std::function<bool(TargetId)>& aKeeps) -> void
{
  std::erase_if(loads_, [&](const auto& aEntry) {
    return aEntry.second.Total().running_ == 0 && !aKeeps(aEntry.first);
  });
}

auto LoadBook::SetPeer(RouterId aPeer,
                       const std::vector<wire::TargetUse>& aTargets,
                       bool aPartial,
                       Instant aNow) -> void
{
  auto& peer = peers_[aPeer];
  peer.at_ = aNow;
  if (!aPartial) {
    Drop(peer);
    peer.targets_.clear();
  }
  for (const auto& use : aTargets) {
    auto& known = peer.targets_[use.target];
    At(TargetId{ use.target }).ChangePeers(AmountsOf(known), AmountsOf(use));
    known = use;
    if (use.running == 0 && use.prefillTokens == 0 && use.memoryTokens == 0) {
      peer.targets_.erase(use.target);
    }
  }
}

auto LoadBook::Tick(Instant aNow) -> void
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.at_ > kPeerLife;
    if (silent) {
      Drop(aEntry.second);
    }
    return silent;
  });
}

auto LoadBook::OwnUse() const -> std::vector<wire::TargetUse>
{
  std::vector<wire::TargetUse> uses;
  for (const auto& entry : loads_) {
    const auto& own = entry.second.Own();
    if (own.running_ == 0) {
      continue;
    }
    wire::TargetUse use;
    use.target = entry.first.value_;
    use.prefillTokens = own.prefillTokens_;
    use.running = own.running_;
    use.memoryTokens = own.memoryTokens_;
    uses.push_back(use);
  }
  return uses;
}

} // namespace burdockring
