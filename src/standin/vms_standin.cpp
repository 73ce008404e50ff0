#include "standin/vms_standin.h"

namespace burdockring {
namespace {

namespace asio = boost::asio;

constexpr auto kJsonType = "application/json";
constexpr std::size_t kMaxVersions = 32;

} // namespace

auto VmsStandin::Shown() const -> std::string
{
  const auto lag = std::chrono::milliseconds(faults_.Get(Fault::kLag));
  const auto then = std::chrono::steady_clock::now() - lag;
  const auto* shown = &versions_.front();
  for (const auto& version : versions_) {
    if (version.since_ <= then) {
      shown = &version;
    }
  }
  return shown->body_;
}

auto VmsStandin::Handle(HttpRequest aRequest, HttpResponder* aResponder)
  -> asio::awaitable<void>
{
  if (const auto status = HandleFault(aRequest, &faults_)) {
    co_await aResponder->Whole(status->ok() ? 200 : 400, kJsonType,
                               std::string(status->message()), HttpFields());
    co_return;
  }
  if (faults_.Get(Fault::kDown) != 0) {
    aResponder->Abort();
    co_return;
  }
  if (aRequest.method() == boost::beast::http::verb::post) {
    versions_.push_back(
      { std::chrono::steady_clock::now(), std::move(aRequest.body()) });
    if (versions_.size() > kMaxVersions) {
      versions_.pop_front();
    }
  }
  co_await aResponder->Whole(200, kJsonType, Shown(), HttpFields());
}

VmsStandin::VmsStandin(asio::io_context* aContext, std::string aList)
  : server_({ aContext },
            HttpLimits{},
            [this](HttpRequest aRequest, HttpResponder* aResponder) {
              return Handle(std::move(aRequest), aResponder);
            })
{
  versions_.push_back({ {}, std::move(aList) });
}

auto VmsStandin::Listen(const Endpoint& aEndpoint) -> absl::Status
{
  return server_.Listen(aEndpoint);
}

} // namespace burdockring
