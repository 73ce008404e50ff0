#include "platform/record_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace burdockring {
namespace {

constexpr std::string_view kConfiguration = R"({"version":7,
 "routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"stream",
  "timeoutMs":15000,"targetLatencyMs":800,"maxAttempts":2,"public":false,
  "resumable":true,"gapAimMs":200,
  "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]},
  {"name":"q","host":"h","pathPrefix":"/a/b/","kind":"safe","service":"t",
   "public":true}],
 "services":[{"name":"s","maxConns":370,"engine":{"slots":64,"kvBytes":163840,"linkMbps":180000,
  "kvTokens":629678,"stride":5}},{"name":"t","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000,"tokensPerS":340000},
 "tenants":[{"name":"hotel","apiKeys":["k1","k2"]}]})";

TEST(RecordCodec, DecodesAConfiguration)
{
  const auto table = DecodeConfiguration(kConfiguration);
  ASSERT_TRUE(table.ok()) << table.status();
  EXPECT_EQ((*table)->Version(), 7);
  // The longest prefix wins; the query doesn't count.
  EXPECT_EQ((*table)->FindRoute("h", "/a/b/c?x=/z/")->name_, "q");
  const auto* route = (*table)->FindRoute("h", "/a/c");
  EXPECT_EQ(route->name_, "r");
  EXPECT_EQ(route->maxEventGap_, 200ms);
  EXPECT_TRUE(route->IsRetryable());
  EXPECT_EQ(route->shares_.size(), 2U);
  EXPECT_EQ((*table)->FindRoute("h", "/b"), nullptr);
  EXPECT_EQ((*table)->FindAccount("k2")->name_, "hotel");
  EXPECT_EQ((*table)->FindAccount("k3"), nullptr);
  EXPECT_DOUBLE_EQ((*table)->TokensPerSecond(), 340'000);
  EXPECT_TRUE((*table)->FindService(MakeId<ServiceId>("s"))->isEngine_);
  // 163,840 bytes over 180,000 Mbit/s.
  EXPECT_NEAR((*table)->FindService(MakeId<ServiceId>("s"))->copyMsPerToken_,
              0.00728, 0.00001);
}

TEST(RecordCodec, ConfigurationThatCannotBeReadIsRefused)
{
  EXPECT_FALSE(DecodeConfiguration("{}").ok());
  EXPECT_FALSE(DecodeConfiguration("\x01\x02").ok());
  EXPECT_FALSE(
    DecodeConfiguration(R"({"version":1,"routes":[{"kind":"odd"}]})").ok());
  EXPECT_FALSE(DecodeConfiguration(R"({"version":"1","routes":[]})").ok());
}

// Only a stream has events, and a limit that is no duration is none: it must
// not make all responses late.
TEST(RecordCodec, GapLimitIsThatOfAStreamOrNone)
{
  const auto limit = [](const std::string& aKind, const std::string& aField) {
    const auto table = DecodeConfiguration(
      R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","service":"s",)"
      R"("kind":")" +
      aKind + '"' + aField + "}]}");
    EXPECT_TRUE(table.ok()) << table.status();
    return (*table)->FindRoute("h", "/")->maxEventGap_;
  };
  EXPECT_EQ(limit("stream", R"(,"gapAimMs":300)"), 300ms);
  EXPECT_EQ(limit("stream", ""), 0us);
  EXPECT_EQ(limit("stream", R"(,"gapAimMs":-5)"), 0us);
  EXPECT_EQ(limit("stream", R"(,"gapAimMs":"300")"), 0us);
  EXPECT_EQ(limit("stream", R"(,"gapAimMs":null)"), 0us);
  EXPECT_EQ(limit("safe", R"(,"gapAimMs":300)"), 0us);
}

/// A configuration with one route that is not public.
auto ConfigurationWith(const std::string& aAccounts) -> std::string
{
  return R"({"version":8,"routes":[{"name":"r","host":"h","pathPrefix":"/",
    "kind":"safe","service":"s"}])" +
         aAccounts + "}";
}

// After the last account was taken away every key ran, as an empty list was
// taken for no list.
TEST(RecordCodec, EmptyListOfAccountsStillRequiresKeys)
{
  for (const auto* accounts :
       { R"(,"tenants":[])", R"(,"tenants":[{"name":"hotel"}])",
         R"(,"tenants":[{"name":"hotel","apiKeys":[]}])",
         R"(,"tenants":[{"name":"hotel","apiKeys":"k1"}])",
         R"(,"tenants":[{"name":"hotel","apiKeys":[1,null,""]}])",
         R"(,"tenants":["k1",null,7])" }) {
    const auto table = DecodeConfiguration(ConfigurationWith(accounts));
    ASSERT_TRUE(table.ok()) << accounts;
    EXPECT_TRUE((*table)->RequiresKeys()) << accounts;
    EXPECT_EQ((*table)->FindAccount("k1"), nullptr) << accounts;
    EXPECT_EQ((*table)->FindAccount(""), nullptr) << accounts;
  }
}

TEST(RecordCodec, ConfigurationWithoutAccountsRequiresNoKeys)
{
  const auto table = DecodeConfiguration(ConfigurationWith(""));
  ASSERT_TRUE(table.ok());
  EXPECT_FALSE((*table)->RequiresKeys());
}

// What can't be read opened every route.
TEST(RecordCodec, AccountsThatAreNoListAreRefused)
{
  for (const auto* accounts :
       { R"(,"tenants":null)", R"(,"tenants":{})", R"(,"tenants":"hotel")",
         R"(,"tenants":{"name":"hotel","apiKeys":["k1"]})" }) {
    EXPECT_FALSE(DecodeConfiguration(ConfigurationWith(accounts)).ok())
      << accounts;
  }
}

TEST(RecordCodec, EntryOfAnotherWriterNamesNoTarget)
{
  const std::string good = R"({"service":"s","address":"10.0.0.1:80",
    "zone":"z","slots":64,"state":"ready","born":17})";
  ASSERT_TRUE(DecodeTarget("i-1", good).ok());
  for (const auto* bad :
       { "", "[]", "\xff\xfe", R"({"service":"s"})",
         R"({"service":"s","address":1,"zone":"z","slots":1,"state":"ready"})",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,
             "state":"odd"})",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,
             "state":"ready","born":1.5})",
         R"({"service":"s","address":"host:80","zone":"z","slots":1,
             "state":"ready"})" }) {
    EXPECT_FALSE(DecodeTarget("i-1", bad).ok()) << bad;
  }
}

TEST(RecordCodec, ColdStartIsReadFromServicesAndEntries)
{
  const auto table = DecodeConfiguration(
    R"({"version":1,"routes":[],"services":[
        {"name":"s","coldStartS":3.0,"coldPerS":8.3},
        {"name":"odd","coldStartS":-1,"coldPerS":"x"}]})");
  ASSERT_TRUE(table.ok());
  const auto* service = (*table)->FindService(MakeId<ServiceId>("s"));
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->coldStart_, Duration(3s));
  EXPECT_DOUBLE_EQ(service->coldRequestsPerSecond_, 8.3);
  const auto* odd = (*table)->FindService(MakeId<ServiceId>("odd"));
  ASSERT_NE(odd, nullptr);
  EXPECT_EQ(odd->coldStart_, Duration(0));
  EXPECT_DOUBLE_EQ(odd->coldRequestsPerSecond_, 0);
  const std::string entry = R"({"service":"s","zone":"z","slots":4,
    "state":"ready","born":7,"address":"10.0.0.1:80")";
  const auto cold = DecodeTarget("i-1", entry + R"(,"coldLeftMs":1200})");
  ASSERT_TRUE(cold.ok());
  EXPECT_EQ(cold->coldLeft_, Duration(1200ms));
  const auto silent = DecodeTarget("i-1", entry + "}");
  ASSERT_TRUE(silent.ok());
  EXPECT_FALSE(silent->coldLeft_);
}

TEST(RecordCodec, ZoneDrainBeginsAndEndsByItsRecord)
{
  const auto begins = DecodeZoneDrain({ "evacuate/rennes", "{}" });
  ASSERT_TRUE(begins);
  EXPECT_EQ(begins->zone_, MakeId<ZoneId>("rennes"));
  EXPECT_TRUE(begins->isDrained_);
  const auto ends = DecodeZoneDrain({ "evacuate/rennes", std::nullopt });
  ASSERT_TRUE(ends);
  EXPECT_FALSE(ends->isDrained_);
  EXPECT_FALSE(DecodeZoneDrain({ "config", "{}" }));
  EXPECT_FALSE(DecodeZoneDrain({ "evacuate/", "{}" }));
}

TEST(RecordCodec, AnotherStartUnderOneNameIsAnotherTarget)
{
  const std::string head = R"({"service":"s","address":"10.0.0.1:80",
    "zone":"z","slots":64,"state":"ready","born":)";
  EXPECT_NE(DecodeTarget("i-1", head + "1}")->id_,
            DecodeTarget("i-1", head + "2}")->id_);
}

TEST(RecordCodec, BatchSurvivesGarbledRecords)
{
  std::string bytes(15, '\0');
  bytes += '\x02';
  bytes += EncodeRecord({ "k", "v" });
  // A record whose key is longer than the record.
  bytes += std::string("\0\0\0\x02\x09x", 6);
  bytes += EncodeRecord({ "gone", std::nullopt });
  const auto batch = DecodeBatch(bytes);
  ASSERT_TRUE(batch.ok());
  EXPECT_EQ(batch->count_, 3);
  ASSERT_EQ(batch->records_.size(), 2U);
  EXPECT_EQ(batch->records_[0].value_, "v");
  EXPECT_FALSE(batch->records_[1].value_);
  EXPECT_FALSE(DecodeBatch(bytes.substr(0, bytes.size() - 1)).ok());
  EXPECT_FALSE(DecodeBatch("short").ok());
}

TEST(RecordCodec, NewestPageIsDecoded)
{
  const auto page = DecodeNewest(
    R"({"items":[{"key":"config","value":"YWI=","offset":4}],"more":true,
        "end":6})");
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(page->records_[0].value_, "ab");
  EXPECT_TRUE(page->more_);
  EXPECT_EQ(page->end_, 6);
  EXPECT_FALSE(DecodeNewest("{}").ok());
}

// Guards against a record whose key hides all others of its page.
TEST(RecordCodec, KeysThatAreNoTextHideNoRecords)
{
  const std::string head =
    R"({"items":[{"key":"a\\\"b","value":"YWI="},{"key":")";
  const std::string tail =
    R"(","value":"YWI="},{"key":"z","value":"YWI="}],"more":true,"end":6})";
  const std::string other = "\ufffd";
  const std::vector<std::pair<std::string, std::string>> keys{
    { "k\x91", "k" + other },
    { "k\xff\xfe", "k" + other + other },
    // The beginning of a longer sequence, before the closing quote.
    { "k\xe4", "k" + other },
    { "\xf0\x9f", other },
    { R"(k\udc91)", "k" + other },
    { R"(k\ud800z)", "k" + other + "z" },
    { R"(\ud83d\ude00\ud83d)", "\U0001f600" + other },
    { "k\n\x01", "k\n\x01" },
  };
  for (const auto& [text, key] : keys) {
    const auto page = DecodeNewest(head + text + tail);
    ASSERT_TRUE(page.ok()) << text;
    ASSERT_EQ(page->records_.size(), 3U) << text;
    EXPECT_EQ(page->records_[0].key_, "a\\\"b");
    EXPECT_EQ(page->records_[1].key_, key);
    EXPECT_EQ(page->records_[2].key_, "z");
  }
  EXPECT_FALSE(DecodeNewest(head + R"(k","value":)").ok());
  EXPECT_FALSE(DecodeNewest(head + R"(k\ud8)").ok());
}

// Guards against a name of another writer that adds fields, or a request, to
// those that are sent to a target.
TEST(RecordCodec, NameThatIsNoFieldValueNamesNoTarget)
{
  const std::string entry =
    R"({"service":"pool","zone":"z","state":"ready","slots":4,
        "address":"127.0.0.1:1"})";
  EXPECT_TRUE(DecodeTarget("i-1", entry).ok());
  for (const std::string name :
       { "i-1\r\nX-Other: 1", "i-1\r\n\r\nGET / HTTP/1.1", "i\n", "i\x01",
         "i\x7f", "", " i", "i " }) {
    EXPECT_FALSE(DecodeTarget(name, entry).ok()) << name;
  }
  EXPECT_FALSE(DecodeTarget(std::string("i\0", 2), entry).ok());
}

// Guards against an account whose name adds fields to its requests.
TEST(RecordCodec, AccountThatCannotBeNamedGivesNoAccess)
{
  const auto table = DecodeConfiguration(
    R"({"version":1,"routes":[],"tenants":[
        {"name":"a\r\nX-Other: 1","apiKeys":["k1"]},
        {"name":"b","apiKeys":["k2"]}]})");
  ASSERT_TRUE(table.ok());
  EXPECT_EQ((*table)->FindAccount("k1"), nullptr);
  EXPECT_NE((*table)->FindAccount("k2"), nullptr);
}

/// An engine's entry that names no engine to use.
struct OddEntry
{
  const char* name_;
  std::string text_;
};

auto operator<<(std::ostream& aStream, const OddEntry& aEntry) -> std::ostream&
{
  return aStream << aEntry.name_;
}

auto EntryWith(const std::string& aAddress, const std::string& aRest)
  -> std::string
{
  return R"({"service":"pool","zone":"z","state":"ready","address":")" +
         aAddress + "\"," + aRest + "}";
}

auto OddEntries() -> std::vector<OddEntry>
{
  constexpr std::size_t kDepth = 200'000;
  const std::string good = "10.0.0.1:8000";
  const std::string slots = R"("slots":4)";
  return {
    { "DeepArray", std::string(kDepth, '[') },
    { "DeepArrayClosed", std::string(kDepth, '[') + std::string(kDepth, ']') },
    { "DeepInAField", EntryWith(good, "\"slots\":" + std::string(kDepth, '[') +
                                        std::string(kDepth, ']')) },
    { "PortZero", EntryWith("10.0.0.1:0", slots) },
    { "PortTooLarge", EntryWith("10.0.0.1:70000", slots) },
    { "PortFarTooLarge", EntryWith("10.0.0.1:99999999999999999999", slots) },
    { "PortNegative", EntryWith("10.0.0.1:-1", slots) },
    { "NoPort", EntryWith("10.0.0.1", slots) },
    { "HostIsNoAddress", EntryWith("engine-1:8000", slots) },
    { "HostOutOfRange", EntryWith("10.0.0.999:8000", slots) },
    { "HostEmpty", EntryWith(":8000", slots) },
    { "SlotsTooLarge", EntryWith(good, R"("slots":1e300)") },
    { "SlotsOverflow", EntryWith(good, R"("slots":1e400)") },
    { "SlotsBeyondInt", EntryWith(good, R"("slots":3000000000)") },
    { "SlotsNegative", EntryWith(good, R"("slots":-4)") },
    { "SlotsFraction", EntryWith(good, R"("slots":2.5)") },
    { "SlotsText", EntryWith(good, R"("slots":"4")") },
    { "BornFraction", EntryWith(good, R"("slots":4,"born":1.5)") },
    { "BornTooLarge",
      EntryWith(good, R"("slots":4,"born":18446744073709551615)") },
    { "Null", "null" },
    { "Number", "1e308" },
    { "RawBytes", "\xff\xfe{\"service\":\"pool\"}" },
  };
}

class OddEntryTest : public testing::TestWithParam<OddEntry>
{
};

TEST_P(OddEntryTest, NamesNoEngine)
{
  EXPECT_FALSE(DecodeTarget("k", GetParam().text_).ok());
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         OddEntryTest,
                         testing::ValuesIn(OddEntries()),
                         [](const testing::TestParamInfo<OddEntry>& aInfo) {
                           return std::string(aInfo.param.name_);
                         });

/// A text of JSON with values that nobody expects, nested a few levels deep.
auto OddJson(int aLevels) -> rc::Gen<std::string>
{
  const auto scalar = rc::gen::element<std::string>(
    "null", "true", "-1", "0", "65536", "1e300", "-1e300", "1e-300",
    "18446744073709551615", "-9223372036854775808", "2147483648", "1.5", "\"\"",
    "\"10.0.0.1:1\"", "\"ready\"", "\"safe\"", "[]", "{}");
  if (aLevels == 0) {
    return scalar;
  }
  const auto name = rc::gen::element<std::string>(
    "service", "zone", "state", "slots", "address", "born", "version", "routes",
    "services", "tenants", "limits", "items", "more", "end", "key", "value",
    "name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
    "maxAttempts", "trafficSplit", "weight", "engine", "kvTokens", "kvBytes",
    "linkMbps", "maxConns", "maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs",
    "tokensPerS", "apiKeys", "port", "millicores", "store_epoch");
  const auto inner = OddJson(aLevels - 1);
  const auto object = rc::gen::map(
    rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
      rc::gen::pair(name, inner)),
    [](const std::vector<std::pair<std::string, std::string>>& aFields) {
      std::string text = "{";
      for (const auto& field : aFields) {
        text +=
          (text.size() > 1 ? ",\"" : "\"") + field.first + "\":" + field.second;
      }
      return text + "}";
    });
  const auto array =
    rc::gen::map(rc::gen::container<std::vector<std::string>>(inner),
                 [](const std::vector<std::string>& aItems) {
                   std::string text = "[";
                   for (const auto& item : aItems) {
                     text += (text.size() > 1 ? "," : "") + item;
                   }
                   return text + "]";
                 });
  return rc::gen::oneOf(scalar, object, array);
}

// Under the sanitizers a cast of a number out of range fails too.
RC_GTEST_PROP(RecordCodec, NoOddValuesBreakADecoder, ())
{
  const auto text = *OddJson(4);
  (void)DecodeNewest(text);
  (void)DecodeConfiguration(text);
  (void)DecodeTarget("k", text);
  (void)DecodeRouter("k", text);
}

RC_GTEST_PROP(RecordCodec, NoBytesBreakADecoder, (const std::string& aBytes))
{
  (void)DecodeBatch(aBytes);
  (void)DecodeNewest(aBytes);
  (void)DecodeConfiguration(aBytes);
  (void)DecodeTarget("k", aBytes);
  (void)DecodeRouter("k", aBytes);
}

TEST(RecordCodecSplit, PiecesHoldAllRecordsInOrder)
{
  std::string bytes(16, '\0');
  for (int i = 0; i < 50; ++i) {
    bytes +=
      EncodeRecord({ "key-" + std::to_string(i), std::string(100, 'v') });
  }
  const auto batch = DecodeBatch(bytes);
  ASSERT_TRUE(batch.ok());
  const auto pieces = SplitBatch(*batch, 7, 1000);
  EXPECT_GE(pieces.size(), 5U);
  std::int64_t next = 7;
  int records = 0;
  for (const auto& piece : pieces) {
    EXPECT_EQ(piece.from_, next);
    next = piece.to_;
    EXPECT_LE(piece.bytes_.size(), 1000U);
    const auto decoded = DecodeBatch(piece.bytes_);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->count_, piece.to_ - piece.from_);
    for (const auto& record : decoded->records_) {
      EXPECT_EQ(record.key_, "key-" + std::to_string(records++));
    }
  }
  EXPECT_EQ(next, 57);
  EXPECT_EQ(records, 50);
}

TEST(RecordCodecSplit, ReadWithoutRecordsIsOnePiece)
{
  const auto batch = DecodeBatch(std::string(16, '\0'));
  ASSERT_TRUE(batch.ok());
  const auto pieces = SplitBatch(*batch, 3, 1000);
  ASSERT_EQ(pieces.size(), 1U);
  EXPECT_EQ(pieces[0].from_, 3);
  EXPECT_EQ(pieces[0].to_, 3);
}

} // namespace
} // namespace burdockring
