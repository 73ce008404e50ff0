#include "support/broken_answers.h"
#include "support/forward_process.h"

#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <rapidcheck.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kEvents = 4;
constexpr int kOk = 200;
constexpr int kNotRunStatus = 503;

enum class Route
{
  kSafe,
  kOnce,
  kTalk,
};

/// What a target does with one attempt.
enum class Behaviour
{
  kGood,
  /// The connection ends, or is reset, within the answer.
  kCut,
  kReset,
  kNotRun,
  /// An answer to another request stands before the right one.
  kStrayBefore,
  /// Bytes that nobody asked for follow the right answer.
  kStrayBehind,
  kGarbage,
  kOtherId,
  /// The status is right but the sign of the whole answer is missing.
  kUnsigned,
  /// The answer has no length, and the connection is reset within it.
  kUnframedReset,
  /// One of the broken answers in HTTP/1.
  kBroken,
};
constexpr int kBehaviours = 11;

/// Status line and fields of an answer that states no length.
auto SignedHead(const std::string& aId) -> std::string
{
  return fmt::format(
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Stamp: sig\r\n", aId);
}

struct AttemptPlan
{
  Behaviour behaviour_ = Behaviour::kGood;
  /// Where a cut or a reset comes, modulo the answer's length.
  std::size_t at_ = 0;
};

struct RequestPlan
{
  Route route_ = Route::kSafe;
  std::vector<AttemptPlan> attempts_;
};

auto RouteName(Route aRoute) -> std::string
{
  constexpr std::array kNames{ "safe", "once", "talk" };
  return kNames.at(static_cast<std::size_t>(aRoute));
}

auto EventsBehind(const std::string& aId, int aLast) -> std::string
{
  std::string body;
  for (int i = aLast + 1; i <= kEvents; ++i) {
    body += fmt::format("id: {}\ndata: {}-{}\n\n", i, aId, i);
  }
  return body;
}

auto WholeBody(Route aRoute, const std::string& aId) -> std::string
{
  return aRoute == Route::kTalk ? EventsBehind(aId, 0) : "answer to " + aId;
}

/// Counts what the targets run, and breaks answers by the plan.
class Oracle
{
  std::mutex mutex_;
  RequestPlan plan_;
  std::size_t next_ = 0;
  /// Attempts that reached a target, and those that ran.
  std::map<std::string, int> attempts_;
  std::map<std::string, int> runs_;

public:
  auto Begin(RequestPlan aPlan) -> void
  {
    const std::lock_guard lock(mutex_);
    plan_ = std::move(aPlan);
    next_ = 0;
  }

  auto Answer(const std::string& aRequest) -> ScriptedAnswer
  {
    const std::lock_guard lock(mutex_);
    const auto id = RequestIdOf(aRequest);
    const auto plan =
      next_ < plan_.attempts_.size() ? plan_.attempts_[next_] : AttemptPlan{};
    ++next_;
    ++attempts_[id];
    if (plan.behaviour_ == Behaviour::kNotRun) {
      return { NotRunAnswer(id) };
    }
    ++runs_[id];
    const auto body = plan_.route_ == Route::kTalk
                        ? EventsBehind(id, LastEventOf(aRequest))
                        : WholeBody(plan_.route_, id);
    return Break(plan, id, body);
  }

  static auto Break(const AttemptPlan& aPlan,
                    const std::string& aId,
                    const std::string& aBody) -> ScriptedAnswer
  {
    const auto whole = GoodHead(aId, aBody.size()) + aBody;
    switch (aPlan.behaviour_) {
      case Behaviour::kCut:
        return { whole.substr(0, aPlan.at_ % whole.size()), true };
      case Behaviour::kReset: {
        ScriptedAnswer answer{ whole.substr(0, aPlan.at_ % whole.size()),
                               true };
        answer.reset_ = true;
        return answer;
      }
      case Behaviour::kStrayBefore:
        return { GoodHead("other", 5) + "wrong" + whole };
      case Behaviour::kStrayBehind:
        return { whole + GoodHead("other", 5) + "wrong" };
      case Behaviour::kGarbage:
        return { "\x16\x03 no answer\r\n\r\n", true };
      case Behaviour::kOtherId:
        return { GoodHead("other", aBody.size()) + aBody, true };
      case Behaviour::kUnsigned:
        return { fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\n"
                             "Content-Length: {}\r\n\r\n{}",
                             aId, aBody.size(), aBody),
                 true };
      case Behaviour::kUnframedReset: {
        const auto unframed = SignedHead(aId) + "\r\n" + aBody;
        ScriptedAnswer answer{ unframed.substr(0,
                                               aPlan.at_ % unframed.size()) };
        answer.reset_ = true;
        return answer;
      }
      case Behaviour::kBroken: {
        const auto all = AllBrokenAnswers("X-Attempt-Id: " + aId +
                                          "\r\nX-Response-Stamp: sig\r\n");
        return { all.at(aPlan.at_ % all.size()).bytes_ };
      }
      default:
        return { whole };
    }
  }

  auto Runs(const std::string& aId) -> int
  {
    const std::lock_guard lock(mutex_);
    return runs_[aId];
  }

  auto Attempts(const std::string& aId) -> int
  {
    const std::lock_guard lock(mutex_);
    return attempts_[aId];
  }
};

struct CallerReply
{
  /// Zero: the connection ended without a whole answer.
  int status_ = 0;
  std::string body_;
};

/// The real program between targets that break by a plan.
class ForwardFuzzTest : public ForwardProcess
{
protected:
  Oracle oracle_;
  asio::io_context context_;
  std::optional<asio::ip::tcp::socket> socket_;
  int number_ = 0;
  /// Requests that were played, and those that reached a target.
  int played_ = 0;
  int reached_ = 0;

  auto SetUp() -> void override
  {
    attemptsOfUnsafe_ = 2;
    ForwardProcess::SetUp();
    SetScripts(
      [this](const std::string& aRequest) { return oracle_.Answer(aRequest); });
    first_.KeepNoRequests();
    second_.KeepNoRequests();
  }

  auto Connect() -> void
  {
    socket_.emplace(context_);
    socket_->connect({ asio::ip::address_v4::loopback(), kCallerPort });
  }

  /// One request on the kept connection.
  auto AskOnKept(const std::string& aBytes) -> CallerReply
  {
    if (!socket_) {
      Connect();
    }
    boost::system::error_code error;
    asio::write(*socket_, asio::buffer(aBytes), error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read(*socket_, buffer, parser, error);
    if (error) {
      socket_.reset();
      return {};
    }
    if (!parser.get().keep_alive()) {
      socket_.reset();
    }
    return { static_cast<int>(parser.get().result_int()), parser.get().body() };
  }

  auto NextId() -> std::string { return fmt::format("f{}", ++number_); }

  /// Plays one request and says which promise it broke; empty: none.
  auto Play(const RequestPlan& aPlan) -> std::string
  {
    const auto id = NextId();
    const auto route = RouteName(aPlan.route_);
    oracle_.Begin(aPlan);
    const auto reply = AskOnKept(CallerRequestBytes(route, id, "k1", "body"));
    const int runs = oracle_.Runs(id);
    reached_ += oracle_.Attempts(id) > 0 ? 1 : 0;
    ++played_;
    if (aPlan.route_ == Route::kOnce && runs > 1) {
      return fmt::format("unsafe work ran {} times", runs);
    }
    if (aPlan.route_ != Route::kOnce && oracle_.Attempts(id) > 2) {
      return fmt::format("{} attempts", oracle_.Attempts(id));
    }
    if (reply.status_ == kOk && reply.body_ != WholeBody(aPlan.route_, id)) {
      return fmt::format("not its own whole answer: '{}'", reply.body_);
    }
    if (aPlan.route_ == Route::kOnce && reply.status_ == kNotRunStatus &&
        runs > 0) {
      return "told as not run, but it ran";
    }
    if (reply.status_ == 0 && aPlan.route_ != Route::kTalk) {
      return "a caller got no answer";
    }
    return {};
  }
};

/// Answers of every route that break at every byte, by an end and by a reset.
TEST_F(ForwardFuzzTest, AnswersThatBreakAtEveryByteKeepThePromises)
{
  for (const auto route : { Route::kSafe, Route::kOnce, Route::kTalk }) {
    const auto length =
      GoodHead("f1000", 100).size() + WholeBody(route, "f1000").size();
    for (std::size_t at = 0; at < length; ++at) {
      for (const auto how :
           { Behaviour::kCut, Behaviour::kReset, Behaviour::kUnframedReset }) {
        const RequestPlan plan{ route, { { how, at } } };
        EXPECT_EQ(Play(plan), "") << RouteName(route) << " broken at " << at;
      }
    }
  }
  // The rest is turned away while both targets are avoided.
  EXPECT_GT(reached_, played_ / 2);
}

/// Requests of every route whose caller leaves at every byte.
TEST_F(ForwardFuzzTest, RequestsThatBreakAtEveryByteDoNotRun)
{
  for (const auto route : { Route::kSafe, Route::kOnce, Route::kTalk }) {
    oracle_.Begin({ route, {} });
    const auto whole =
      CallerRequestBytes(RouteName(route), "f0000", "k1", "body").size();
    for (std::size_t at = 0; at < whole; ++at) {
      const auto id = fmt::format("f{:04}", ++number_);
      const auto bytes = CallerRequestBytes(RouteName(route), id, "k1", "body");
      Connect();
      asio::write(*socket_, asio::buffer(bytes.substr(0, at)));
      socket_.reset();
      EXPECT_EQ(oracle_.Attempts(id), 0) << "left at " << at;
    }
  }
  // Nothing comes late either, and others are served.
  EXPECT_EQ(Play({ Route::kSafe, {} }), "");
  for (int i = 1; i <= number_; ++i) {
    EXPECT_EQ(oracle_.Attempts(fmt::format("f{:04}", i)), 0);
  }
}

auto DrawPlan() -> rc::Gen<RequestPlan>
{
  // The range would begin small and reach the last behaviours hardly ever.
  const auto attempt = rc::gen::map(
    rc::gen::resize(rc::kNominalSize,
                    rc::gen::pair(rc::gen::inRange(0, kBehaviours),
                                  rc::gen::inRange<std::size_t>(0, 300))),
    [](const std::pair<int, std::size_t>& aDrawn) {
      return AttemptPlan{ static_cast<Behaviour>(aDrawn.first), aDrawn.second };
    });
  return rc::gen::map(
    rc::gen::pair(rc::gen::inRange(0, 3),
                  rc::gen::container<std::vector<AttemptPlan>>(3, attempt)),
    [](const std::pair<int, std::vector<AttemptPlan>>& aDrawn) {
      return RequestPlan{ static_cast<Route>(aDrawn.first), aDrawn.second };
    });
}

auto Describe(const RequestPlan& aPlan) -> std::string
{
  auto text = RouteName(aPlan.route_);
  for (const auto& attempt : aPlan.attempts_) {
    text +=
      fmt::format(" {}@{}", static_cast<int>(attempt.behaviour_), attempt.at_);
  }
  return text;
}

/// Series of requests on one kept connection, where each attempt behaves in
/// its own way; behind every series a good request gets its own answer.
TEST_F(ForwardFuzzTest, SeriesOfBrokenAnswersKeepThePromises)
{
  const auto kept =
    rc::check("promises hold over any series of broken answers", [this] {
      const auto plans =
        *rc::gen::container<std::vector<RequestPlan>>(6, DrawPlan());
      std::string series;
      for (const auto& plan : plans) {
        series += Describe(plan) + "; ";
        const auto broken = Play(plan);
        if (!broken.empty()) {
          RC_FAIL(broken + " in " + series);
        }
      }
      std::string after;
      RC_ASSERT(WaitUntil([&] {
        after = Play({ Route::kSafe, {} });
        return after.empty();
      }));
    });
  EXPECT_TRUE(kept);
  EXPECT_GT(reached_, played_ / 2);
}

} // namespace
} // namespace burdockring
