#include "support/forwarding_fixture.h"
#include "wire/envelope_codec.h"

#include <gtest/gtest.h>
#include <limits>
#include <random>

namespace burdockring {
namespace {

using testing::NiceMock;

constexpr std::int64_t kIncarnation = 77;

/// One router, and valid and malformed messages from a peer.
class HostilePeerTest : public testing::Test
{
protected:
  NiceMock<MockEventLog> log_;
  std::unique_ptr<ForwardingNode> node_;
  RequestId nextId_ = 1;

  auto SetUp() -> void override
  {
    RouterAddress self;
    self.name_ = "router-1";
    self.id_ = MakeId<RouterId>("router-1");
    self.zone_ = MakeId<ZoneId>("near");
    node_ = std::make_unique<ForwardingNode>(ForwardingOptions{}, self,
                                             kIncarnation, &log_);
    node_->Directory().Put("t1", MakeTarget("t1", "pool", 8));
    node_->OnConfiguration(MakeTable(5), "text", 1s);
    RouterAddress peer;
    peer.name_ = "router-2";
    peer.id_ = MakeId<RouterId>("router-2");
    peer.zone_ = MakeId<ZoneId>("near");
    peer.host_ = "10.0.0.2";
    peer.peerPort_ = 7400;
    node_->OnRouters({ peer }, 1s);
  }

  static auto Report() -> wire::Envelope
  {
    wire::Envelope envelope;
    envelope.sender = MakeId<RouterId>("router-2").value_;
    envelope.incarnation = 5;
    envelope.__isset.load = true;
    envelope.load.configVersion = 5;
    envelope.load.stampMicros = 1;
    envelope.load.echoIncarnation = kIncarnation;
    return envelope;
  }

  /// An envelope that holds every kind of message between routers.
  static auto FullEnvelope() -> wire::Envelope
  {
    auto envelope = Report();
    envelope.__isset.heartbeat = true;
    envelope.__isset.listNews = true;
    envelope.__isset.configRequest = true;
    envelope.__isset.configOffer = true;
    envelope.__isset.placement = true;
    envelope.configOffer.version = 9;
    envelope.configOffer.text = "piece";
    envelope.configOffer.pieces = 3;
    envelope.listNews.batch = std::string(40, 'b');
    wire::TargetUse use;
    use.target = MakeId<TargetId>("t1").value_;
    use.running = 3;
    use.prefillTokens = 1000;
    envelope.load.targets = { use };
    wire::AccountUse account;
    account.account = MakeId<AccountId>("a").value_;
    account.askedTokens = 5000;
    envelope.load.accounts = { account };
    envelope.load.leaving = { 1 };
    envelope.load.gone = { 2 };
    wire::PlaceAsk ask;
    ask.request = 4;
    envelope.placement.asks = { ask };
    return envelope;
  }

  auto ServesRequest(Instant aNow) -> bool
  {
    IncomingRequest arrival;
    arrival.id_ = nextId_++;
    arrival.host_ = "h";
    arrival.target_ = "/write/x";
    arrival.facts_.attemptId_ = "id-" + std::to_string(arrival.id_);
    arrival.received_ = aNow;
    const auto id = arrival.id_;
    node_->OnArrival(std::move(arrival), aNow);
    bool sent = false;
    for (int i = 0; i < 20; ++i) {
      node_->Tick(aNow + i * 50ms);
      for (const auto& effect : node_->TakeEffects()) {
        sent = sent || std::holds_alternative<SendAttempt>(effect);
      }
    }
    node_->OnCallerDisconnected(id, aNow + 1s);
    return sent;
  }
};

// After a power loss a router's clock may differ, and a peer that does not
// receive its messages echoes a timestamp of the earlier incarnation. Taking
// that for its own would confirm an outdated configuration.
TEST_F(HostilePeerTest, EchoOfEarlierIncarnationDoesNotConfirmConfiguration)
{
  auto envelope = Report();
  envelope.load.echoMicros = Duration(8s).count();
  envelope.load.echoIncarnation = kIncarnation - 1;
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(8s));
  // The clock of the earlier incarnation was ahead of this one's.
  envelope.load.echoIncarnation = kIncarnation;
  envelope.load.echoMicros = Duration(20s).count();
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(8s));
  envelope.load.echoMicros = Duration(8s).count();
  envelope.load.configAgeMicros = -1;
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(8s));
  envelope.load.configAgeMicros = 0;
  node_->OnPeer(envelope, 9s);
  EXPECT_EQ(node_->ConfigAge(9s), Duration(1s));
}

TEST_F(HostilePeerTest, ExtremeValuesDoNotStopTheRouter)
{
  constexpr auto kMax = std::numeric_limits<std::int32_t>::max();
  constexpr auto kMin = std::numeric_limits<std::int32_t>::min();
  for (const auto number : { kMax, kMin, -1, 0 }) {
    for (int sender = 0; sender < 5; ++sender) {
      auto envelope = FullEnvelope();
      envelope.sender = sender;
      envelope.load.targets[0].running = number;
      envelope.load.targets[0].prefillTokens = number;
      envelope.load.targets[0].memoryTokens = number;
      envelope.load.accounts[0].askedTokens =
        number == kMax ? std::numeric_limits<std::int64_t>::max() : number;
      envelope.load.configAgeMicros = std::numeric_limits<std::int64_t>::min();
      envelope.load.echoMicros = std::numeric_limits<std::int64_t>::max();
      envelope.listNews.sharedList = number;
      envelope.configOffer.piece = number;
      envelope.configOffer.pieces = number;
      envelope.placement.asks[0].serviceId = number;
      node_->OnPeer(envelope, 2s);
      node_->TakeEffects();
    }
  }
  // Peers that sent extreme values time out like any silent peer.
  EXPECT_TRUE(ServesRequest(30s));
}

TEST_F(HostilePeerTest, CorruptedBytesDoNotStopTheRouter)
{
  const auto validBytes = wire::EncodeEnvelope(FullEnvelope());
  std::mt19937 random(20261204);
  for (int i = 0; i < 20'000; ++i) {
    auto bytes = validBytes;
    const auto changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    const auto envelope = wire::DecodeEnvelope(bytes);
    if (envelope.ok()) {
      node_->OnPeer(*envelope, 2s);
      node_->TakeEffects();
    }
  }
  EXPECT_TRUE(ServesRequest(40s));
}

} // namespace
} // namespace burdockring
