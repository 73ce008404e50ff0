#include "process/forwarding/forwarding_node.h"

#include "support/forwarding_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>

namespace burdockring {
namespace {

using testing::NiceMock;

class ForwardingNodeTest : public testing::Test
{
protected:
  NiceMock<MockEventLog> log_;
  std::unique_ptr<ForwardingNode> node_;
  RequestId nextId_ = 1;

  auto SetUp() -> void override
  {
    ForwardingOptions options;
    options.retries_ = { 0.2, 56, 10s };
    RouterAddress self;
    self.name_ = "router-1";
    self.id_ = MakeId<RouterId>("router-1");
    self.zone_ = MakeId<ZoneId>("near");
    node_ = std::make_unique<ForwardingNode>(options, self, 1, &log_);
  }

  auto MakeReady(Instant aNow) -> void
  {
    node_->Directory().Put("t1", MakeTarget("t1", "pool", 8));
    node_->Directory().Put("t2", MakeTarget("t2", "pool", 8));
    node_->OnConfiguration(MakeTable(5, false), "text", aNow);
  }

  auto Arrive(const std::string& aRoute,
              const std::string& aKey,
              Instant aNow,
              Duration aPatience = 10s) -> RequestId
  {
    IncomingRequest arrival;
    arrival.id_ = nextId_++;
    arrival.host_ = "h";
    arrival.target_ = "/" + aRoute + "/x?q=1";
    arrival.facts_.attemptId_ = "id-" + std::to_string(arrival.id_);
    arrival.facts_.key_ = aKey;
    arrival.facts_.patience_ = aPatience;
    arrival.received_ = aNow;
    const auto id = arrival.id_;
    node_->OnArrival(std::move(arrival), aNow);
    return id;
  }

  /// Returns the first effect of a type, if any; the others are dropped.
  template<typename Effect>
  auto Take() -> std::optional<Effect>
  {
    for (const auto& effect : node_->TakeEffects()) {
      if (const auto* typed = std::get_if<Effect>(&effect)) {
        return *typed;
      }
    }
    return std::nullopt;
  }
};

TEST_F(ForwardingNodeTest, RejectsRequestsBeforeTheFirstConfiguration)
{
  Arrive("read", "key-a", 1s);
  const auto refusal = Take<FailRequest>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->status_, 503);
  EXPECT_GT(refusal->retryAfter_, 0us);
  EXPECT_FALSE(node_->IsReady());
}

TEST_F(ForwardingNodeTest, SendsAccountAndRemainingTimeout)
{
  MakeReady(1s);
  EXPECT_TRUE(node_->IsReady());
  Arrive("read", "key-a", 1s, 4s);
  const auto send = Take<SendAttempt>();
  ASSERT_TRUE(send);
  EXPECT_EQ(send->account_, "a");
  EXPECT_EQ(send->patience_, Duration(4s));
}

TEST_F(ForwardingNodeTest, RejectsUnknownKeyAndRouteWhileConfigurationIsFresh)
{
  MakeReady(1s);
  Arrive("read", "no-such-key", 2s);
  EXPECT_EQ(Take<FailRequest>()->status_, 401);
  Arrive("nowhere", "key-a", 2s);
  EXPECT_EQ(Take<FailRequest>()->status_, 404);
}

TEST_F(ForwardingNodeTest, KeyChecksFailClosedWhenConfigurationIsStale)
{
  MakeReady(1s);
  Arrive("read", "key-a", 5900ms);
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
  Arrive("nowhere", "key-a", 5900ms);
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
  // Routes that need no key still work.
  Arrive("write", "", 5900ms);
  EXPECT_TRUE(Take<SendAttempt>());
  node_->OnConfigurationConfirmed(5s);
  Arrive("read", "key-a", 5900ms);
  EXPECT_TRUE(Take<SendAttempt>());
}

TEST_F(ForwardingNodeTest, ConfigurationVersionNeverDecreases)
{
  MakeReady(1s);
  node_->OnConfiguration(MakeTable(4, false), "old", 3s);
  EXPECT_EQ(node_->Table()->Version(), 5);
}

TEST_F(ForwardingNodeTest, UnsafeRequestIsNotRetriedOnceSent)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 1);
  node_->OnAttemptFailed(id, 1, AttemptStage::kSent, "reset", 1100ms);
  const auto refusal = Take<FailRequest>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->status_, 502);
  EXPECT_EQ(refusal->retryAfter_, 0us);
}

TEST_F(ForwardingNodeTest, UnsafeRequestIsRetriedElsewhereIfNoByteWasSent)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s);
  const auto first = Take<SendAttempt>();
  node_->OnAttemptFailed(id, 1, AttemptStage::kUnsent, "no way", 1100ms);
  const auto second = Take<SendAttempt>();
  ASSERT_TRUE(second);
  EXPECT_NE(second->target_, first->target_);
}

TEST_F(ForwardingNodeTest, RefusalByTheTargetCountsAsNotRun)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 1);
  node_->OnAttemptRefused(id, 1, 1100ms);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 2);
  node_->OnAttemptRefused(id, 2, 1200ms);
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
}

TEST_F(ForwardingNodeTest, RunThatMayHaveStartedIsNeverReportedAsNotRun)
{
  MakeReady(1s);
  const auto id = Arrive("read", "key-a", 1s);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 1);
  node_->OnAttemptFailed(id, 1, AttemptStage::kSent, "reset", 1100ms);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 2);
  // The second target did not run the request, but the first may have.
  node_->OnAttemptRefused(id, 2, 1200ms);
  EXPECT_EQ(Take<FailRequest>()->status_, 502);
}

TEST_F(ForwardingNodeTest, StreamResumesAfterTheLastEvent)
{
  MakeReady(1s);
  const auto id = Arrive("talk", "key-a", 1s);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 1);
  node_->OnResponseStarted(id, 1, 1100ms);
  node_->OnEventForwarded(id, 7);
  node_->OnAttemptFailed(id, 1, AttemptStage::kResponding, "reset", 1200ms);
  const auto second = Take<SendAttempt>();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->lastEvent_, 7U);
  node_->OnAttemptSent(id, 2);
  node_->OnAttemptFailed(id, 2, AttemptStage::kSent, "reset", 1300ms);
  // The route's maximum number of attempts is reached.
  EXPECT_TRUE(Take<FailRequest>());
}

/// Values of the number fields of the next lines of this event.
auto NumbersOf(MockEventLog* aLog, std::string_view aEvent)
  -> std::shared_ptr<std::map<std::string, std::int64_t>>
{
  auto numbers = std::make_shared<std::map<std::string, std::int64_t>>();
  ON_CALL(*aLog, Write(aEvent, testing::_))
    .WillByDefault([numbers](std::string_view /*aName*/,
                             std::initializer_list<LogField> aFields) {
      for (const auto& field : aFields) {
        if (const auto* number = std::get_if<std::int64_t>(&field.value_)) {
          (*numbers)[std::string(field.name_)] = *number;
        }
      }
    });
  return numbers;
}

// An operator must find the streams that were late by one gap only. The gap
// where a stream goes on at another target counts, as the caller sees it.
TEST_F(ForwardingNodeTest, LongestGapIsReportedWithTheLimitOfTheRoute)
{
  MakeReady(1s);
  node_->OnConfiguration(MakeTable(6, false, 0, 0, 300ms), "text", 1s);
  const auto line = NumbersOf(&log_, "stream_ended");
  const auto id = Arrive("talk", "key-a", 1s);
  node_->OnAttemptSent(id, 1);
  node_->OnResponseStarted(id, 1, 1100ms);
  node_->OnEventsForwarded(id, 1, 1, 1100ms);
  node_->OnEventsForwarded(id, 1, 1, 1200ms);
  node_->OnAttemptFailed(id, 1, AttemptStage::kResponding, "reset", 1250ms);
  // A late event of the attempt that broke is not the stream's.
  node_->OnEventsForwarded(id, 1, 1, 1300ms);
  node_->OnAttemptSent(id, 2);
  node_->OnEventsForwarded(id, 2, 1, 1510ms);
  node_->OnEventsForwarded(id, 2, 1, 1560ms);
  node_->OnResponseComplete(id, 2, true, 1600ms);
  const auto gaps = Take<RecordEventGaps>();
  ASSERT_TRUE(gaps);
  EXPECT_EQ(gaps->route_, "talk");
  EXPECT_EQ(gaps->longest_, Duration(310ms));
  EXPECT_EQ(gaps->limit_, Duration(300ms));
  EXPECT_EQ((*line)["longest_gap_ms"], 310);
  EXPECT_EQ((*line)["gap_limit_ms"], 300);
  EXPECT_EQ((*line)["gaps"], 3);
  EXPECT_EQ((*line)["over_limit"], 1);
}

// A line for each stream would crowd out others where no limit calls for it.
TEST_F(ForwardingNodeTest, StreamWithoutLimitWritesNoLineOfItsGaps)
{
  MakeReady(1s);
  EXPECT_CALL(log_, Write(testing::_, testing::_)).Times(testing::AnyNumber());
  EXPECT_CALL(log_, Write(std::string_view("stream_ended"), testing::_))
    .Times(0);
  const auto id = Arrive("talk", "key-a", 1s);
  node_->OnAttemptSent(id, 1);
  node_->OnEventsForwarded(id, 1, 1, 1100ms);
  node_->OnEventsForwarded(id, 1, 1, 1500ms);
  node_->OnCallerDisconnected(id, 1600ms);
  const auto gaps = Take<RecordEventGaps>();
  ASSERT_TRUE(gaps);
  EXPECT_EQ(gaps->limit_, 0us);
}

TEST_F(ForwardingNodeTest, TimeoutAbortsTheAttemptAndFailsTheRequest)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s, 500ms);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnAttemptSent(id, 1);
  node_->Tick(1501ms);
  bool stopped = false;
  int status = 0;
  for (const auto& effect : node_->TakeEffects()) {
    stopped = stopped || std::holds_alternative<AbortAttempt>(effect);
    if (const auto* refusal = std::get_if<FailRequest>(&effect)) {
      status = refusal->status_;
    }
  }
  EXPECT_TRUE(stopped);
  EXPECT_EQ(status, 504);
  EXPECT_EQ(node_->RequestCount(), 0U);
}

TEST_F(ForwardingNodeTest, CallerDisconnectAbortsTheAttempt)
{
  MakeReady(1s);
  const auto id = Arrive("read", "key-a", 1s);
  ASSERT_TRUE(Take<SendAttempt>());
  node_->OnCallerDisconnected(id, 1100ms);
  EXPECT_TRUE(Take<AbortAttempt>());
  EXPECT_EQ(node_->WorkDispatcher().RunningCount(), 0U);
}

TEST_F(ForwardingNodeTest, PeerConfirmationOfTheVersionIsDatedByItsEcho)
{
  MakeReady(1s);
  RouterAddress peer;
  peer.name_ = "router-2";
  peer.id_ = MakeId<RouterId>("router-2");
  peer.zone_ = MakeId<ZoneId>("near");
  peer.host_ = "10.0.0.2";
  peer.peerPort_ = 7400;
  node_->OnRouters({ peer }, 1s);
  wire::Envelope envelope;
  envelope.sender = peer.id_.value_;
  envelope.__isset.load = true;
  envelope.load.configVersion = 5;
  envelope.load.configAgeMicros = 500'000;
  envelope.load.stampMicros = 1;
  envelope.load.echoIncarnation = 1;
  envelope.load.echoMicros = Duration(6s).count();
  // Confirmed at the echo's time less the reported age, however late the
  // message is read.
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(3500ms));
  envelope.load.configVersion = 4;
  envelope.load.echoMicros = Duration(9s).count();
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(3500ms));
}

// Load pattern: rolling restart of the routers under load.
TEST_F(ForwardingNodeTest, NewlyListedRouterReceivesTheLoadReport)
{
  MakeReady(1s);
  RouterAddress peer;
  peer.name_ = "router-2";
  peer.id_ = MakeId<RouterId>("router-2");
  peer.zone_ = MakeId<ZoneId>("far");
  peer.host_ = "10.0.0.2";
  peer.peerPort_ = 7400;
  node_->OnRouters({ peer }, 1s);
  Arrive("write", "", 1s);
  node_->TakeEffects();
  node_->Tick(1100ms);
  bool isReported = false;
  for (const auto& effect : node_->TakeEffects()) {
    const auto* send = std::get_if<SendToRouters>(&effect);
    isReported =
      isReported || (send != nullptr && send->envelope_.__isset.load &&
                     !send->envelope_.load.targets.empty());
  }
  EXPECT_TRUE(isReported);
}

TEST_F(ForwardingNodeTest, NewerConfigurationIsRequestedFromThePeer)
{
  MakeReady(1s);
  RouterAddress peer;
  peer.name_ = "router-2";
  peer.id_ = MakeId<RouterId>("router-2");
  peer.host_ = "10.0.0.2";
  peer.peerPort_ = 7400;
  node_->OnRouters({ peer }, 1s);
  wire::Envelope envelope;
  envelope.sender = peer.id_.value_;
  envelope.__isset.load = true;
  envelope.load.configVersion = 9;
  envelope.load.stampMicros = 1;
  node_->OnPeer(envelope, 2s);
  const auto request = Take<SendToRouters>();
  ASSERT_TRUE(request);
  EXPECT_TRUE(request->envelope_.__isset.configRequest);
}

TEST_F(ForwardingNodeTest, RejectsStreamsThenAllRequestsLateInShutdown)
{
  MakeReady(1s);
  node_->Stop();
  EXPECT_FALSE(node_->IsReady());
  Arrive("talk", "key-a", 2s);
  EXPECT_TRUE(Take<SendAttempt>());
  node_->SetAdmissionMode(AdmissionMode::kNoStreams);
  Arrive("talk", "key-a", 3s);
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
  Arrive("write", "", 3s);
  EXPECT_TRUE(Take<SendAttempt>());
  // No request starts that the process exit would interrupt.
  node_->SetAdmissionMode(AdmissionMode::kNone);
  Arrive("write", "", 4s);
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
}

// A stopping router took on unsafe requests until 1 s before it exited, and cut
// those that took longer.
// Load pattern: requests of 1.5 s go on arriving while a zone's routers are
// stopped one after the other.
TEST_F(ForwardingNodeTest, RejectsRequestsThatMayOutlastTheProcess)
{
  MakeReady(1s);
  node_->Stop();
  node_->SetAdmissionMode(AdmissionMode::kNoStreams);
  node_->SetExit(10s);
  Arrive("write", "", 2s, 9s);
  const auto rejected = Take<FailRequest>();
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->status_, 503);
  EXPECT_GT(rejected->retryAfter_, 0us);
  Arrive("write", "", 8400ms, 1500ms);
  EXPECT_TRUE(Take<SendAttempt>());
  Arrive("write", "", 8600ms, 1500ms);
  EXPECT_TRUE(Take<FailRequest>());
}

/// Load pattern: callers of one account overload a small router.
TEST_F(ForwardingNodeTest, RejectsAtOnceWhileTheTimerRunsLate)
{
  MakeReady(1s);
  for (int i = 0; i < 8; ++i) {
    Arrive("write", "", 1s);
  }
  for (int i = 0; i < 4; ++i) {
    node_->RecordTimerLateness(200ms, 1s + i * 200ms);
  }
  EXPECT_TRUE(node_->IsOverloaded());
  EXPECT_FALSE(node_->IsReady());
  node_->TakeEffects();
  Arrive("write", "", 2s);
  const auto refusal = Take<FailRequest>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->status_, 503);
  // Another router can serve the request at once.
  EXPECT_LE(refusal->retryAfter_, 100ms);
}

TEST_F(ForwardingNodeTest, ListNewsGoesToLeadsOfAllZonesAndTheirRouters)
{
  MakeReady(1s);
  const auto makePeer = [](const std::string& aName, const std::string& aZone,
                           const std::string& aHost) {
    RouterAddress peer;
    peer.name_ = aName;
    peer.id_ = MakeId<RouterId>(aName);
    peer.zone_ = MakeId<ZoneId>(aZone);
    peer.host_ = aHost;
    return peer;
  };
  node_->OnRouters({ makePeer("router-2", "near", "10.0.0.2"),
                     makePeer("router-3", "far", "10.0.0.3") },
                   1s);
  node_->TakeEffects();
  wire::ListNews news;
  news.sharedList = static_cast<std::int32_t>(SharedList::kTargets);
  news.reachable = true;
  news.toOffset = 7;
  const auto notifiedHosts = [&] {
    std::set<std::string> hosts;
    for (const auto& effect : node_->TakeEffects()) {
      const auto* message = std::get_if<SendToRouters>(&effect);
      if (message == nullptr || !message->envelope_.__isset.listNews) {
        continue;
      }
      EXPECT_EQ(message->envelope_.listNews.toOffset, 7);
      for (const auto& router : message->routers_) {
        hosts.insert(router.host_);
      }
    }
    return hosts;
  };
  node_->OnListRead(SharedList::kTargets, true, news, 1s);
  EXPECT_EQ(notifiedHosts(), (std::set<std::string>{ "10.0.0.2", "10.0.0.3" }));
  // An update from a router of another zone is not sent back to it.
  wire::Envelope envelope;
  envelope.sender = MakeId<RouterId>("router-3").value_;
  envelope.__isset.listNews = true;
  envelope.listNews = news;
  node_->OnPeer(envelope, 1s);
  EXPECT_FALSE(notifiedHosts().contains("10.0.0.3"));
}

TEST_F(ForwardingNodeTest, LeavingTargetGetsNoMoreRequests)
{
  MakeReady(1s);
  const auto id = Arrive("read", "key-a", 1s);
  const auto first = Take<SendAttempt>();
  ASSERT_TRUE(first);
  node_->OnAttemptSent(id, 1);
  node_->OnTargetNotice(id, 1, { true, 0us }, 1100ms);
  node_->OnResponseComplete(id, 1, true, 1100ms);
  // The target list may still show it as ready.
  auto listed = *node_->Directory().Find(first->target_);
  listed.leaving_ = false;
  node_->Directory().Put(listed.instance_, listed);
  for (int i = 0; i < 6; ++i) {
    Arrive("read", "key-a", 1200ms);
    const auto send = Take<SendAttempt>();
    ASSERT_TRUE(send);
    EXPECT_NE(send->target_, first->target_);
  }
}

TEST_F(ForwardingNodeTest, PausedTargetGetsNoRequestsUntilThePauseEnds)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s);
  const auto first = Take<SendAttempt>();
  ASSERT_TRUE(first);
  node_->OnAttemptSent(id, 1);
  node_->OnTargetNotice(id, 1, { false, 3s }, 1100ms);
  node_->OnAttemptRefused(id, 1, 1100ms);
  const auto second = Take<SendAttempt>();
  ASSERT_TRUE(second);
  EXPECT_NE(second->target_, first->target_);
  for (int i = 0; i < 5; ++i) {
    Arrive("write", "", 3900ms);
    EXPECT_NE(Take<SendAttempt>()->target_, first->target_);
  }
  bool isUsedAgain = false;
  for (int i = 0; i < 8; ++i) {
    Arrive("write", "", 4200ms);
    isUsedAgain = isUsedAgain || Take<SendAttempt>()->target_ == first->target_;
  }
  EXPECT_TRUE(isUsedAgain);
}

TEST_F(ForwardingNodeTest, RejectsAtOnceWhenAllTargetsArePaused)
{
  MakeReady(1s);
  const auto id = Arrive("write", "", 1s);
  for (int attempt = 1; attempt <= 2; ++attempt) {
    ASSERT_TRUE(Take<SendAttempt>());
    node_->OnAttemptSent(id, attempt);
    node_->OnTargetNotice(id, attempt, { false, 4s }, 1100ms);
    node_->OnAttemptRefused(id, attempt, 1100ms);
  }
  EXPECT_EQ(Take<FailRequest>()->status_, 503);
  Arrive("write", "", 2s);
  const auto refusal = Take<FailRequest>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->status_, 503);
  EXPECT_GE(refusal->retryAfter_, 3s);
}

TEST_F(ForwardingNodeTest, LeavingTargetIsReportedToTheLeads)
{
  MakeReady(1s);
  RouterAddress peer;
  peer.name_ = "router-2";
  peer.id_ = MakeId<RouterId>("router-2");
  peer.zone_ = MakeId<ZoneId>("far");
  peer.host_ = "10.0.0.2";
  node_->OnRouters({ peer }, 1s);
  const auto id = Arrive("read", "key-a", 1s);
  const auto send = Take<SendAttempt>();
  node_->OnAttemptSent(id, 1);
  node_->OnTargetNotice(id, 1, { true, 0us }, 1100ms);
  node_->Tick(1200ms);
  bool isReported = false;
  for (const auto& effect : node_->TakeEffects()) {
    const auto* message = std::get_if<SendToRouters>(&effect);
    isReported =
      isReported || (message != nullptr && message->envelope_.__isset.load &&
                     message->envelope_.load.leaving ==
                       std::vector<std::int32_t>{ send->target_.value_ });
  }
  EXPECT_TRUE(isReported);
  // A peer's report of leaving targets is applied too.
  wire::Envelope envelope;
  envelope.__isset.load = true;
  envelope.load.leaving = { MakeId<TargetId>("t1").value_,
                            MakeId<TargetId>("t2").value_ };
  node_->OnPeer(envelope, 1300ms);
  EXPECT_TRUE(node_->Directory().Usable(MakeId<ServiceId>("pool")).empty());
}

TEST_F(ForwardingNodeTest, LargeConfigurationIsSentInPieces)
{
  MakeReady(1s);
  RouterAddress peer;
  peer.name_ = "router-2";
  peer.id_ = MakeId<RouterId>("router-2");
  peer.host_ = "10.0.0.2";
  node_->OnRouters({ peer }, 1s);
  const std::string text(100'000, 'x');
  node_->OnConfiguration(MakeTable(9, false), text, 2s);
  node_->TakeEffects();
  wire::Envelope request;
  request.sender = peer.id_.value_;
  request.__isset.configRequest = true;
  request.configRequest.haveVersion = 5;
  node_->OnPeer(request, 2s);
  std::vector<wire::Envelope> pieces;
  for (const auto& effect : node_->TakeEffects()) {
    const auto* message = std::get_if<SendToRouters>(&effect);
    if (message != nullptr && message->envelope_.__isset.configOffer) {
      EXPECT_LT(message->envelope_.configOffer.text.size(), 60'000U);
      pieces.push_back(message->envelope_);
    }
  }
  EXPECT_GE(pieces.size(), 2U);
  ForwardingNode receiver({}, peer, 1, &log_);
  std::string received;
  // Deliver the pieces in reverse order, and one of them twice.
  pieces.push_back(pieces.front());
  for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece) {
    receiver.OnPeer(*piece, 2s);
    for (const auto& effect : receiver.TakeEffects()) {
      if (const auto* apply = std::get_if<ApplyConfiguration>(&effect)) {
        received = apply->text_;
      }
    }
  }
  EXPECT_EQ(received, text);
}

TEST_F(ForwardingNodeTest, AppliesPeerListNewsAndSkipsUnknownLists)
{
  wire::Envelope envelope;
  envelope.__isset.listNews = true;
  envelope.listNews.sharedList =
    static_cast<std::int32_t>(SharedList::kRouters);
  node_->OnPeer(envelope, 1s);
  EXPECT_TRUE(Take<ApplyListNews>());
  envelope.listNews.sharedList = 99;
  node_->OnPeer(envelope, 1s);
  EXPECT_FALSE(Take<ApplyListNews>());
}

} // namespace
} // namespace burdockring
