#include "wire/envelope_codec.h"

#include "connection/frame_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockring {
namespace {

TEST(EnvelopeCodec, RoundTrips)
{
  wire::Envelope envelope;
  envelope.sender = -3;
  envelope.incarnation = 1'700'000'000'000;
  envelope.__isset.heartbeat = true;
  envelope.heartbeat.leavingTargets = { 1, 2, 3 };
  const auto decoded = wire::DecodeEnvelope(wire::EncodeEnvelope(envelope));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, envelope);
}

/// Rows with any numbers come back as they were sent.
TEST(EnvelopeCodec, RowsRoundTrip)
{
  EXPECT_TRUE(rc::check("rows", [] {
    const auto numbers =
      *rc::gen::container<std::vector<int>>(5, rc::gen::arbitrary<int>());
    wire::Envelope envelope;
    envelope.__isset.demand = true;
    envelope.__isset.grants = true;
    envelope.__isset.exchange = true;
    envelope.__isset.load = true;
    envelope.grants.floor = numbers[0];
    envelope.exchange.virtualTime = numbers[1];
    for (const auto number : numbers) {
      wire::DemandRow demand;
      demand.account = number;
      demand.waiting = numbers[2];
      demand.charged = number * 3LL;
      envelope.demand.demand.push_back(demand);
      wire::HeldRow held;
      held.target = number;
      held.idle = numbers[3];
      envelope.demand.held.push_back(held);
      wire::GrantRow grant;
      grant.target = number;
      grant.account = numbers[4];
      grant.count = number;
      envelope.grants.grants.push_back(grant);
      wire::TagRow tag;
      tag.account = number;
      tag.tag = number - 7LL;
      envelope.grants.tags.push_back(tag);
      wire::ExchangeRow exchange;
      exchange.account = number;
      exchange.tag = number * 5LL;
      envelope.exchange.rows.push_back(exchange);
      wire::TargetUse use;
      use.target = number;
      use.running = numbers[0];
      envelope.load.targets.push_back(use);
      wire::AccountUse asked;
      asked.account = number;
      asked.givenTokens = number * 11LL;
      envelope.load.accounts.push_back(asked);
      wire::PartRead read;
      read.target = number;
      read.part = number * 0x1'0000'0001LL;
      envelope.load.reads.push_back(read);
    }
    const auto decoded = wire::DecodeEnvelope(wire::EncodeEnvelope(envelope));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == envelope);
  }));
}

TEST(EnvelopeCodec, RowsWithOptionalFieldsKeepThem)
{
  wire::Envelope envelope;
  envelope.__isset.demand = true;
  wire::DemandRow introduced;
  introduced.account = 4;
  introduced.__set_tag(9);
  wire::DemandRow plain;
  plain.account = 5;
  plain.charged = 6;
  envelope.demand.demand = { introduced, plain };
  const auto decoded = wire::DecodeEnvelope(wire::EncodeEnvelope(envelope));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->demand.demand, envelope.demand.demand);
}

TEST(EnvelopeCodec, ColumnsOfUnequalLengthsAreAnError)
{
  wire::Envelope envelope;
  wire::RowColumns columns;
  wire::DemandColumns demand;
  demand.accounts = "123";
  demand.waiting = { 1 };
  columns.__set_demand(demand);
  envelope.__set_columns(columns);
  EXPECT_FALSE(wire::DecodeEnvelope(wire::EncodeEnvelope(envelope)).ok());
}

TEST(EnvelopeCodec, GarbageIsAnErrorAndNeverACrash)
{
  EXPECT_TRUE(rc::check("garbage", [](const std::string& aBytes) {
    (void)wire::DecodeEnvelope(aBytes);
  }));
}

TEST(EnvelopeCodec, MutatedMessagesNeverCrash)
{
  wire::Envelope envelope;
  envelope.__isset.demand = true;
  envelope.demand.demand.resize(3);
  envelope.demand.held.resize(2);
  const auto good = wire::EncodeEnvelope(envelope);
  EXPECT_TRUE(rc::check("mutated", [&] {
    auto bytes = good;
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
    (void)wire::DecodeEnvelope(bytes);
  }));
}

TEST(FrameCodec, RefusesBadLengths)
{
  EXPECT_FALSE(DecodeFrameLength({ 0, 0, 0, 0 }).ok());
  EXPECT_FALSE(DecodeFrameLength({ 0xFF, 0xFF, 0xFF, 0xFF }).ok());
  const auto frame = EncodeFrame("abc");
  EXPECT_EQ(frame.size(), 7U);
  EXPECT_EQ(*DecodeFrameLength({ 0, 0, 0, 3 }), 3U);
}

} // namespace
} // namespace burdockring
