#include "connection/caller_session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr int kTokensPerReport = 32;
constexpr auto kJsonType = "application/json";
constexpr auto kStreamType = "application/x-ndjson";
constexpr auto kOk = 200;

auto WholeBody(const std::string& aText, int aTokens) -> std::string
{
  const nlohmann::json body = { { "text", aText }, { "tokens", aTokens } };
  return body.dump() + '\n';
}

template<typename From>
auto Since(From aFrom, From aTo) -> Duration
{
  return std::chrono::duration_cast<Duration>(aTo - aFrom);
}

} // namespace

SessionInbox::SessionInbox(asio::any_io_executor aExecutor)
  : executor_(std::move(aExecutor))
  , wake_(executor_)
{
}

auto SessionInbox::Post(SessionCommand aCommand) -> void
{
  asio::post(executor_, [self = shared_from_this(),
                         command = std::move(aCommand)]() mutable {
    self->commands_.push_back(std::move(command));
    self->wake_.cancel();
  });
}

auto SessionInbox::Wake() -> void
{
  wake_.cancel();
}

auto SessionInbox::Pause() -> asio::awaitable<void>
{
  wake_.expires_after(1h);
  co_await wake_.async_wait(kToken);
}

auto SessionInbox::Next() -> asio::awaitable<SessionCommand>
{
  while (commands_.empty()) {
    co_await Pause();
  }
  auto command = std::move(commands_.front());
  commands_.pop_front();
  co_return command;
}

auto CallerSession::WatchCaller() -> asio::awaitable<void>
{
  const auto self = shared_from_this();
  auto& socket = responder_->Stream().socket();
  const auto [error] =
    co_await socket.async_wait(asio::socket_base::wait_read, kToken);
  if (done_ || error == asio::error::operation_aborted) {
    co_return;
  }
  char byte = 0;
  boost::system::error_code peekError;
  socket.non_blocking(true, peekError);
  const auto count = socket.receive(asio::buffer(&byte, 1),
                                    asio::socket_base::message_peek, peekError);
  const bool open = count > 0 || peekError == asio::error::would_block;
  if (!open) {
    port_->PostEvent(CallerGone{ id_ });
    Response gone = MakeResponse(ResponseCode::kCallerGone, 0us);
    inbox_->Post(RespondToCaller{ id_, gone });
  }
}

auto CallerSession::OnToken(int aAttempt, StreamLine aLine)
  -> asio::awaitable<bool>
{
  const auto now = Clock::now();
  if (!firstToken_) {
    firstToken_ = now;
  }
  ++tokens_;
  if (tokens_ - reportedTokens_ >= kTokensPerReport) {
    reportedTokens_ = tokens_;
    port_->PostEvent(AttemptProgress{ id_, aAttempt, tokens_ });
  }
  if (!request_.stream_) {
    text_ += aLine.text_;
    co_return true;
  }
  if (!responder_->HasBegun()) {
    co_await responder_->BeginChunks(kOk, kStreamType, IdFields());
  }
  co_return co_await responder_->Chunk(CallerLine(aLine));
}

auto CallerSession::PostResult(int aAttempt, AttemptResult aResult) -> void
{
  last_ = std::move(aResult);
  if (tokens_ != reportedTokens_ && last_.end_ != AttemptEnd::kWhole) {
    reportedTokens_ = tokens_;
    port_->PostEvent(AttemptProgress{ id_, aAttempt, tokens_ });
  }
  switch (last_.end_) {
    case AttemptEnd::kWhole:
      port_->PostEvent(AttemptEnded{ id_, aAttempt,
                                     static_cast<double>(last_.tokens_),
                                     last_.status_, last_.body_ });
      break;
    case AttemptEnd::kRefused:
    case AttemptEnd::kRefusedLeaving:
      port_->PostEvent(AttemptRefused{
        id_, aAttempt, last_.end_ == AttemptEnd::kRefusedLeaving });
      break;
    case AttemptEnd::kBroken:
    case AttemptEnd::kSilent:
      port_->PostEvent(
        AttemptFailed{ id_, aAttempt, last_.end_ == AttemptEnd::kSilent });
      break;
    case AttemptEnd::kCancelled:
      port_->PostEvent(CallerGone{ id_ });
      inbox_->Post(
        RespondToCaller{ id_, MakeResponse(ResponseCode::kCallerGone, 0us) });
      break;
  }
}

auto CallerSession::RunAttempt(StartAttempt aStart) -> asio::awaitable<void>
{
  const auto self = shared_from_this();
  const auto attempt = std::make_shared<TargetAttempt>(executor_);
  attempt_ = attempt;
  if (!attemptStart_) {
    attemptStart_ = Clock::now();
  }
  const auto number = aStart.attempt_;
  AttemptCallbacks callbacks;
  callbacks.onSending_ = [this, number] {
    port_->PostEvent(AttemptSent{ id_, number });
  };
  callbacks.onToken_ = [this, number](StreamLine aLine) {
    return OnToken(number, std::move(aLine));
  };
  AttemptRequest request;
  request.start_ = std::move(aStart);
  request.requestId_ = port_->RequestPrefix() + std::to_string(id_);
  request.key_ = request_.arrival_.key_;
  request.body_ = request_.body_;
  auto result = co_await attempt->Run(std::move(request), std::move(callbacks));
  if (!done_ && attempt_ == attempt) {
    attempt_.reset();
    PostResult(number, std::move(result));
  }
  --runningAttempts_;
  inbox_->Wake();
}

auto CallerSession::IdFields() const -> HttpFields
{
  return MakeFields("X-Request-Id",
                    port_->RequestPrefix() + std::to_string(id_));
}

auto CallerSession::RespondWhole(const Response& aAnswer)
  -> asio::awaitable<void>
{
  if (aAnswer.replayedStatus_ != 0) {
    auto fields = IdFields();
    fields.push_back({ "X-Replayed", "true" });
    co_await responder_->Whole(aAnswer.replayedStatus_, kJsonType,
                               aAnswer.replayedBody_, std::move(fields));
    co_return;
  }
  if (request_.kind_ == ServiceKind::kPlain) {
    co_await responder_->Whole(last_.status_, kJsonType, std::move(last_.body_),
                               IdFields());
    co_return;
  }
  if (!request_.stream_) {
    auto body = WholeBody(text_, tokens_);
    co_await responder_->Whole(kOk, kJsonType, std::move(body), IdFields());
    co_return;
  }
  if (!responder_->HasBegun()) {
    co_await responder_->BeginChunks(kOk, kStreamType, IdFields());
  }
  StreamLine end;
  end.end_ = true;
  end.tokens_ = tokens_;
  co_await responder_->Chunk(CallerLine(end));
  co_await responder_->EndChunks();
}

auto CallerSession::Respond(const Response& aAnswer) -> asio::awaitable<void>
{
  RecordTiming(aAnswer.runState_);
  if (aAnswer.code_ == ResponseCode::kCallerGone) {
    responder_->Abort();
    co_return;
  }
  if (aAnswer.runState_ == RunState::kWhole) {
    co_await RespondWhole(aAnswer);
    co_return;
  }
  if (responder_->HasBegun()) {
    co_await responder_->Chunk(AnswerBody(aAnswer, ""));
    responder_->Abort();
    co_return;
  }
  co_await responder_->Whole(FindResponseRow(aAnswer.code_).httpStatus_,
                             kJsonType, AnswerBody(aAnswer, ""),
                             AnswerFields(aAnswer));
}

auto CallerSession::RecordTiming(RunState aState) -> void
{
  const auto now = Clock::now();
  RequestTiming timing;
  timing.account_ = request_.arrival_.account_;
  timing.accountName_ = request_.accountName_;
  timing.class_ = request_.arrival_.class_;
  timing.runState_ = aState;
  timing.total_ = Since(start_, now);
  timing.wait_ = Since(start_, attemptStart_.value_or(now));
  if (firstToken_) {
    timing.firstToken_ = Since(start_, *firstToken_);
    if (tokens_ > 1) {
      timing.betweenTokens_ = Since(*firstToken_, now) / (tokens_ - 1);
    }
  }
  port_->Record(timing);
}

CallerSession::CallerSession(SessionPort* aPort,
                             HttpResponder* aResponder,
                             CallerRequest aRequest,
                             asio::any_io_executor aExecutor)
  : port_(aPort)
  , responder_(aResponder)
  , request_(std::move(aRequest))
  , executor_(std::move(aExecutor))
  , inbox_(std::make_shared<SessionInbox>(executor_))
{
}

auto CallerSession::Run() -> asio::awaitable<void>
{
  id_ = port_->Submit(request_.arrival_, inbox_);
  asio::co_spawn(executor_, WatchCaller(), asio::detached);
  while (!done_) {
    auto command = co_await inbox_->Next();
    if (auto* start = std::get_if<StartAttempt>(&command)) {
      ++runningAttempts_;
      asio::co_spawn(executor_, RunAttempt(std::move(*start)), asio::detached);
    } else if (std::holds_alternative<CancelAttempt>(command)) {
      if (attempt_) {
        std::exchange(attempt_, nullptr)->Cancel();
      }
    } else if (const auto* answer = std::get_if<RespondToCaller>(&command)) {
      done_ = true;
      if (attempt_) {
        std::exchange(attempt_, nullptr)->Cancel();
      }
      co_await Respond(answer->response_);
    }
  }
  boost::system::error_code ignored;
  responder_->Stream().socket().cancel(ignored);
  // A cancelled attempt may still be writing to the caller's connection,
  // which ends with this call.
  while (runningAttempts_ > 0) {
    co_await inbox_->Pause();
  }
  port_->Release(id_);
}

auto MakeCallerHandler(SessionPort* aPort) -> HttpHandler
{
  return [aPort](HttpRequest aRequest,
                 HttpResponder* aResponder) -> asio::awaitable<void> {
    const auto executor = co_await asio::this_coro::executor;
    const auto set = aPort->Config();
    if (aPort->IsStopping()) {
      aResponder->EndConnection();
    }
    auto parsed = ParseCallerRequest(aRequest, *set);
    if (const auto* refusal = std::get_if<CallerRefusal>(&parsed)) {
      const auto answer = MakeResponse(refusal->code_, 0us);
      co_await aResponder->Whole(
        FindResponseRow(refusal->code_).httpStatus_, kJsonType,
        AnswerBody(answer, refusal->message_), AnswerFields(answer));
      co_return;
    }
    const auto session = std::make_shared<CallerSession>(
      aPort, aResponder, std::move(std::get<CallerRequest>(parsed)), executor);
    co_await session->Run();
  };
}

} // namespace burdockring
