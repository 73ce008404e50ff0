#ifndef BURDOCKRING_STANDIN_ENGINE_STANDIN_H
#define BURDOCKRING_STANDIN_ENGINE_STANDIN_H

#include "standin/standin_faults.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace burdockring {

struct EngineOptions
{
  /// Requests that run at once; more wait in the engine.
  int batch_ = 8;
  Duration timePerToken_ = 5ms;
  Duration timeToFirstToken_ = 20ms;
};

/// The token that an engine gives at a place of its answer to a prompt. The
/// same on every engine, so that a resumed answer can be checked.
auto StandinToken(std::string_view aPrompt, int aIndex) -> std::string;

/// A small stand-in of a model engine: POST /v1/generate streams the tokens of
/// {"prompt","max_tokens"}, from X-Resume-From on; GET /v1/record gives its own
/// record of runs.
class EngineStandin
{
  boost::asio::io_context* context_;
  EngineOptions options_;
  StandinFaults faults_;
  int running_ = 0;
  std::int64_t started_ = 0;
  std::int64_t finished_ = 0;
  std::int64_t cancelled_ = 0;
  std::int64_t tokens_ = 0;
  int mostRunning_ = 0;
  HttpServer server_;

  auto Handle(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  auto Generate(HttpRequest aRequest, HttpResponder* aResponder)
    -> boost::asio::awaitable<void>;
  auto Stream(std::string aRequestId,
              std::string aPrompt,
              int aFrom,
              int aTokens,
              HttpResponder* aResponder) -> boost::asio::awaitable<bool>;
  auto Pause(Duration aDuration) -> boost::asio::awaitable<void>;
  [[nodiscard]] auto RecordBody() const -> std::string;

public:
  EngineStandin(boost::asio::io_context* aContext, EngineOptions aOptions);

  auto Listen(const Endpoint& aEndpoint) -> absl::Status;
};

} // namespace burdockring

#endif
