#include "support/forward_process.h"

namespace burdockring {
namespace {

using OddEntriesTest = ForwardProcess;

/// Entries of another writer: nested deeply, with a number too large, a port
/// out of range, or bytes that are no text.
auto OddValues() -> std::vector<std::string>
{
  constexpr std::size_t kDepth = 100'000;
  const std::string begin =
    R"({"service":"pool","zone":"z","state":"ready","address":"127.0.0.1:)";
  return {
    std::string(kDepth, '[') + std::string(kDepth, ']'),
    begin + R"(1","slots":)" + std::string(kDepth, '[') +
      std::string(kDepth, ']') + "}",
    begin + R"(1","slots":1e300})",
    begin + R"(1","slots":1e400})",
    begin + R"(0","slots":4})",
    begin + R"(70000","slots":4})",
    begin + R"(1","slots":4,"born":18446744073709551615})",
    "\xff\xfe\x01",
  };
}

// The router ended again and again, or stopped following the list.
TEST_F(OddEntriesTest, RouterGoesOnFollowingTheTargets)
{
  const std::string targets(kStandinTargetTopic);
  int number = 0;
  for (const auto& value : OddValues()) {
    store_.Put(targets, { "odd-" + std::to_string(number++), value });
    store_.Put(targets, { "i-2", value });
  }
  // A second router that starts now reads the same as newest records.
  StandinTarget draining{ "i-1", "z", kFirstTargetPort };
  draining.leaving_ = true;
  store_.Put(targets, EncodeStandinTarget({ "i-2", "z", kSecondTargetPort }));
  store_.Put(targets, EncodeStandinTarget(draining));
  EXPECT_TRUE(WaitUntil([&] {
    Seen();
    for (int i = 0; i < 8; ++i) {
      if (Status(Ask("/once/x")) != "200") {
        return false;
      }
    }
    return first_.TakeRequests().empty() && second_.TakeRequests().size() == 8;
  }));
  EXPECT_TRUE(process_.IsRunning());
}

} // namespace
} // namespace burdockring
