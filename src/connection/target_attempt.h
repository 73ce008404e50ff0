#ifndef BURDOCKRING_CONNECTION_TARGET_ATTEMPT_H
#define BURDOCKRING_CONNECTION_TARGET_ATTEMPT_H

#include "connection/stream_line.h"
#include "process/node/node_effects.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>

namespace burdockring {

enum class AttemptEnd
{
  /// The end mark was seen.
  kWhole,
  /// The target refused before running anything.
  kRefused,
  kRefusedLeaving,
  /// The connection failed, ended early or carried another request's answer.
  kBroken,
  kSilent,
  kCancelled,
};

struct AttemptResult
{
  AttemptEnd end_ = AttemptEnd::kBroken;
  int status_ = 0;
  int tokens_ = 0;
  std::string body_;
};

/// What is sent to a target.
struct AttemptRequest
{
  StartAttempt start_;
  std::string requestId_;
  std::string key_;
  std::string body_;
};

/// Called as an attempt goes on.
struct AttemptCallbacks
{
  /// The next step writes the request's first byte.
  std::function<void()> onSending_;
  /// A token came; false stops the attempt as the caller has gone.
  std::function<boost::asio::awaitable<bool>(StreamLine)> onToken_;
};

/// One try of a request on a target, on a connection of its own, which is
/// closed whenever a reply is given up, so that no late answer can meet another
/// request.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
  boost::beast::tcp_stream stream_;
  bool cancelled_ = false;

  auto ReadEngine(AttemptRequest* aRequest, AttemptCallbacks* aCallbacks)
    -> boost::asio::awaitable<AttemptResult>;
  auto ReadPlain(AttemptRequest* aRequest)
    -> boost::asio::awaitable<AttemptResult>;
  [[nodiscard]] auto Failure(const boost::system::error_code& aError) const
    -> AttemptResult;
  [[nodiscard]] auto Broken() const -> AttemptResult;

public:
  explicit TargetAttempt(boost::asio::any_io_executor aExecutor);

  auto Run(AttemptRequest aRequest, AttemptCallbacks aCallbacks)
    -> boost::asio::awaitable<AttemptResult>;
  auto Cancel() -> void;
};

} // namespace burdockring

#endif
