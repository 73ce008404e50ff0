#include "connection/target_connection.h"

#include "support/context_runner.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace burdockring {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kAttempt = 1;
constexpr std::size_t kMemory = 64U << 20U;
/// More than the kernel's buffers of both ends take.
constexpr std::size_t kLongUpload = 32U << 20U;

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nX-Any: thing\r\n\r\n";

enum class Verdict
{
  kNone,
  kWhole,
  kBroken,
};

/// Holds what a connection reports of one attempt.
class RecordingListener : public AttemptListener
{
public:
  Verdict verdict_ = Verdict::kNone;
  AttemptStage stage_ = AttemptStage::kUnsent;
  std::string cause_;
  std::string body_;
  bool isSent_ = false;
  /// Called with the first bytes of the body.
  std::function<void()> onBody_;

  auto OnSending(int /*aAttempt*/) -> void override { isSent_ = true; }
  auto OnHead(int /*aAttempt*/, const MessageHead& /*aHead*/, bool /*aReused*/)
    -> bool override
  {
    return true;
  }
  auto OnBody(int /*aAttempt*/, std::string aBody) -> void override
  {
    body_ += aBody;
    if (const auto onBody = std::exchange(onBody_, {})) {
      onBody();
    }
  }
  auto OnEnd(int /*aAttempt*/) -> void override { verdict_ = Verdict::kWhole; }
  auto OnBroken(int /*aAttempt*/, AttemptStage aStage, std::string_view aCause)
    -> void override
  {
    verdict_ = Verdict::kBroken;
    stage_ = aStage;
    cause_ = aCause;
  }
};

/// A connection and its target, whose steps a test takes one by one: the
/// connection sees nothing of what the target does until its context runs.
class TargetConnectionTest
  : public testing::Test
  , protected ContextRunner
{
protected:
  asio::executor_work_guard<asio::io_context::executor_type> work_ =
    asio::make_work_guard(context_);
  asio::io_context targetContext_{ 1 };
  tcp::acceptor acceptor_{ targetContext_,
                           { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket target_{ targetContext_ };
  MemoryBudget memory_{ kMemory };
  std::shared_ptr<RecordingListener> listener_ =
    std::make_shared<RecordingListener>();
  std::shared_ptr<TargetConnection> connection_;
  /// Whether the connection was ever offered for another request.
  bool wasIdle_ = false;

  /// Sends a request with a body of this size, of which the target has read no
  /// more than the beginning.
  auto SendRequest(std::size_t aBodyBytes, const std::string& aMethod = "POST")
    -> void
  {
    connection_ = std::make_shared<TargetConnection>(
      &context_, &memory_,
      Endpoint{ "127.0.0.1", acceptor_.local_endpoint().port() },
      [&](TargetConnection* aConnection) {
        wasIdle_ =
          wasIdle_ || aConnection->GetState() == TargetConnection::State::kIdle;
      });
    connection_->Send(kAttempt,
                      aMethod + " /x HTTP/1.1\r\nContent-Length: " +
                        std::to_string(aBodyBytes) + "\r\n\r\n",
                      std::make_shared<const std::string>(aBodyBytes, 'u'),
                      listener_);
    connection_->Open();
    ASSERT_TRUE(RunUntil([&] { return listener_->isSent_; }));
    acceptor_.accept(target_);
    std::string head;
    asio::read_until(target_, asio::dynamic_buffer(head), "\r\n\r\n");
  }

  auto Answer(const std::string& aBytes) -> void
  {
    asio::write(target_, asio::buffer(aBytes));
  }

  auto Reset() -> void
  {
    target_.set_option(asio::socket_base::linger(true, 0));
    target_.close();
  }

  auto HalfClose() -> void { target_.shutdown(tcp::socket::shutdown_send); }

  auto ReadToEnd() -> void
  {
    boost::system::error_code error;
    std::array<char, 4096> bytes{};
    target_.non_blocking(true);
    while (!error) {
      target_.read_some(asio::buffer(bytes), error);
    }
  }

  auto AwaitVerdict() -> Verdict
  {
    RunUntil([&] { return listener_->verdict_ != Verdict::kNone; });
    return listener_->verdict_;
  }
};

using ResetTest = TargetConnectionTest;

// The write of the request got the reset's error, and the read behind it found
// the end of the stream: the caller got the part as a complete answer.
TEST_F(ResetTest, WhileTheRequestIsWrittenIsNoEndOfAnAnswer)
{
  SendRequest(kLongUpload);
  Answer(kUnframedHead + std::string(500, 'a'));
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kBroken);
  EXPECT_EQ(listener_->stage_, AttemptStage::kResponding);
  EXPECT_EQ(listener_->cause_, "Connection reset by peer");
}

// The caller reads slowly, so the answer is not read while the write fails.
TEST_F(ResetTest, WhileReadingIsPausedIsNoEndOfAnAnswer)
{
  SendRequest(kLongUpload);
  listener_->onBody_ = [&] { connection_->SetPaused(true); };
  Answer(kUnframedHead + std::string(500, 'a'));
  ASSERT_TRUE(RunUntil([&] { return !listener_->body_.empty(); }));
  Answer(std::string(500, 'b'));
  Reset();
  context_.run_for(std::chrono::milliseconds(20));
  connection_->SetPaused(false);
  EXPECT_EQ(AwaitVerdict(), Verdict::kBroken);
}

TEST_F(ResetTest, OfAKeptConnectionIsNoEndOfTheNextAnswer)
{
  SendRequest(0);
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  ASSERT_TRUE(wasIdle_);
  listener_ = std::make_shared<RecordingListener>();
  connection_->Send(kAttempt, "POST /y HTTP/1.1\r\n\r\n",
                    std::make_shared<const std::string>(kLongUpload, 'u'),
                    listener_);
  Answer(kUnframedHead + std::string(500, 'a'));
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kBroken);
  EXPECT_EQ(listener_->body_, std::string(500, 'a'));
}

class ResetAfterBytesTest
  : public TargetConnectionTest
  , public testing::WithParamInterface<std::size_t>
{
};

// Bytes that fill a read buffer are followed by a second read, which got
// the reset's error.
TEST_P(ResetAfterBytesTest, IsNoEndOfAnAnswer)
{
  SendRequest(0);
  Answer(kUnframedHead + std::string(GetParam() - kUnframedHead.size(), 'a'));
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kBroken);
  EXPECT_EQ(listener_->stage_, AttemptStage::kResponding);
}

constexpr std::size_t kFirstRead = MemoryBudget::FirstBuffer().size();
constexpr std::size_t kBothReads = kFirstRead + MemoryBudget::kReadBytes;

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ResetAfterBytesTest,
                         testing::Values(kFirstRead - 1,
                                         kFirstRead,
                                         kFirstRead + 1,
                                         kBothReads - 1,
                                         kBothReads,
                                         kBothReads + 1,
                                         kBothReads + kFirstRead,
                                         2 * kBothReads,
                                         20 * kBothReads + kFirstRead));

// A connection whose end is known already must not get another request.
TEST_F(ResetTest, BehindAWholeAnswerEndsTheConnection)
{
  SendRequest(0);
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\nX-Pad: ";
  const auto rest = kFirstRead - head.size() - 900 - 4;
  Answer(head + std::string(rest, 'p') + "\r\n\r\n" + std::string(900, 'a'));
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_FALSE(wasIdle_);
}

/// An early answer: the request is still being written.
struct EarlyAnswer
{
  const char* name_;
  std::string bytes_;
};

auto operator<<(std::ostream& aStream, const EarlyAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class EarlyAnswerTest
  : public TargetConnectionTest
  , public testing::WithParamInterface<EarlyAnswer>
{
};

TEST_P(EarlyAnswerTest, IsWholeThoughTheRestOfTheRequestIsCut)
{
  SendRequest(kLongUpload);
  Answer(GetParam().bytes_);
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_, "whole");
  EXPECT_FALSE(wasIdle_);
}

INSTANTIATE_TEST_SUITE_P(
  Framings,
  EarlyAnswerTest,
  testing::Values(
    EarlyAnswer{ "Length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" },
    EarlyAnswer{ "Chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nwhole\r\n0\r\n\r\n" },
    EarlyAnswer{ "OlderVersion",
                 "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole" }),
  [](const testing::TestParamInfo<EarlyAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

using OrderlyEndTest = TargetConnectionTest;

TEST_F(OrderlyEndTest, OfAnEarlyAnswerIsItsEndWhileTheTargetReadsOn)
{
  SendRequest(kLongUpload);
  Answer(kUnframedHead + "whole");
  HalfClose();
  ReadToEnd();
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_, "whole");
}

// The answer had ended in order before the target gave up on the upload.
TEST_F(OrderlyEndTest, OfAnEarlyAnswerIsItsEndThoughAResetFollows)
{
  SendRequest(kLongUpload);
  Answer(kUnframedHead + "whole");
  HalfClose();
  Reset();
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_, "whole");
}

TEST_F(OrderlyEndTest, WithinAStatedLengthIsNoEndOfAnAnswer)
{
  SendRequest(0);
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole");
  target_.close();
  EXPECT_EQ(AwaitVerdict(), Verdict::kBroken);
}

class UnframedAnswerTest
  : public TargetConnectionTest
  , public testing::WithParamInterface<const char*>
{
};

TEST_P(UnframedAnswerTest, EndsWithAnOrderlyEnd)
{
  const auto head = std::string(GetParam()) + " 200 OK\r\n\r\n";
  SendRequest(0);
  Answer(head + std::string(kFirstRead - head.size(), 'a'));
  target_.close();
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_.size(), kFirstRead - head.size());
}

INSTANTIATE_TEST_SUITE_P(Versions,
                         UnframedAnswerTest,
                         testing::Values("HTTP/1.1", "HTTP/1.0"));

TEST_F(OrderlyEndTest, OfChunksInAnOlderVersionEndsTheConnection)
{
  SendRequest(0);
  Answer("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
         "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_, "whole");
  EXPECT_FALSE(wasIdle_);
}

/// An answer that ends with its head.
struct HeadOnlyAnswer
{
  const char* name_;
  const char* method_;
  const char* head_;
  bool isKept_;
};

auto operator<<(std::ostream& aStream, const HeadOnlyAnswer& aCase)
  -> std::ostream&
{
  return aStream << aCase.name_;
}

class HeadOnlyAnswerTest
  : public TargetConnectionTest
  , public testing::WithParamInterface<HeadOnlyAnswer>
{
};

// A body that the head states and may not have can still come, and would be
// read as the next request's answer.
TEST_P(HeadOnlyAnswerTest, IsKeptUnlessItStatesABody)
{
  SendRequest(0, GetParam().method_);
  Answer(std::string(GetParam().head_) + "\r\n");
  EXPECT_EQ(AwaitVerdict(), Verdict::kWhole);
  EXPECT_EQ(listener_->body_, "");
  EXPECT_EQ(wasIdle_, GetParam().isKept_);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HeadOnlyAnswerTest,
  testing::Values(
    HeadOnlyAnswer{ "Head", "HEAD", "HTTP/1.1 200 OK\r\n", true },
    HeadOnlyAnswer{ "HeadWithLength", "HEAD",
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", false },
    HeadOnlyAnswer{ "HeadWithChunks", "HEAD",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                    false },
    HeadOnlyAnswer{ "HeadBehindInterimHead", "HEAD",
                    "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\n"
                    "Content-Length: 5\r\n",
                    false },
    HeadOnlyAnswer{ "NoContent", "POST", "HTTP/1.1 204 No\r\n", true },
    HeadOnlyAnswer{ "NoContentOfLengthZero", "POST",
                    "HTTP/1.1 204 No\r\nContent-Length: 0\r\n", true },
    HeadOnlyAnswer{ "NoContentWithLength", "POST",
                    "HTTP/1.1 204 No\r\nContent-Length: 5\r\n", false },
    HeadOnlyAnswer{ "NoContentWithChunks", "POST",
                    "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n",
                    false },
    HeadOnlyAnswer{ "NotModifiedWithLength", "POST",
                    "HTTP/1.1 304 Not\r\nContent-Length: 5\r\n", false }),
  [](const testing::TestParamInfo<HeadOnlyAnswer>& aInfo) {
    return std::string(aInfo.param.name_);
  });

} // namespace
} // namespace burdockring
