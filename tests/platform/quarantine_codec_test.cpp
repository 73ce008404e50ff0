#include "platform/quarantine_codec.h"

#include <gtest/gtest.h>

namespace burdockring {
namespace {

TEST(QuarantineCodec, KeepsWhatItEncodes)
{
  const StoredQuarantine quarantine{ { 7, 0xffff'ffff'ffff'fffeULL }, 612s, 3 };
  const auto decoded = DecodeQuarantine(EncodeQuarantine(quarantine));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->parts_, quarantine.parts_);
  EXPECT_EQ(decoded->remaining_, quarantine.remaining_);
  EXPECT_EQ(decoded->renewals_, 3);
}

// Keys of the store hold at most 255 bytes, whatever a request's parts are.
TEST(QuarantineCodec, KeyIsShortAndTellsPartsApart)
{
  PartIds many(32, 0xdeadbeefdeadbeefULL);
  EXPECT_LE(QuarantineKey(many).size(), 16U);
  EXPECT_NE(QuarantineKey({ 7 }), QuarantineKey({ 8 }));
  EXPECT_NE(QuarantineKey({ 7 }), QuarantineKey({ 7, 8 }));
  EXPECT_EQ(QuarantineKey({ 7, 8 }), QuarantineKey({ 7, 8 }));
}

// A record of another version, or another writer's, must not reject requests.
TEST(QuarantineCodec, OddRecordsAreRefused)
{
  const std::string many = [] {
    std::string text = R"({"parts":[)";
    for (int i = 0; i < 33; ++i) {
      text += i == 0 ? R"("1")" : R"(,"1")";
    }
    return text + "]}";
  }();
  for (const auto& text :
       { std::string(), std::string("x"), std::string("[]"), std::string("{}"),
         std::string(R"({"parts":7})"), std::string(R"({"parts":[]})"),
         std::string(R"({"parts":[7]})"), std::string(R"({"parts":["zz"]})"),
         std::string(R"({"parts":[""]})"),
         std::string(R"({"parts":["11112222333344445"]})"), many }) {
    EXPECT_FALSE(DecodeQuarantine(text).ok()) << text;
  }
}

TEST(QuarantineCodec, OddNumbersAreBounded)
{
  const auto odd = DecodeQuarantine(
    R"({"parts":["9","7"],"remaining_ms":-5,"renewals":9223372036854775807})");
  ASSERT_TRUE(odd.ok());
  EXPECT_EQ(odd->parts_, (PartIds{ 7, 9 }));
  EXPECT_EQ(odd->remaining_, 0us);
  EXPECT_LE(odd->renewals_, 64);
  const auto text =
    DecodeQuarantine(R"({"parts":["7"],"remaining_ms":"soon","renewals":1.5})");
  ASSERT_TRUE(text.ok());
  EXPECT_EQ(text->remaining_, 0us);
}

} // namespace
} // namespace burdockring
