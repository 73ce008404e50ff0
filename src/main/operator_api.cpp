#include "main/operator_api.h"

#include "main/router_process.h"
#include "main/status_report.h"

#include <array>
#include <functional>
#include <string_view>

namespace burdockring {
namespace {

struct Page
{
  int status_ = 200;
  std::string type_ = "application/json";
  std::string body_;
};

struct PageRow
{
  std::string_view path_;
  auto(*make_)(const RouterProcess&) -> Page;
};

auto HealthPage(const RouterProcess& /*aProcess*/) -> Page
{
  return { 200, "text/plain", "ok\n" };
}

auto ReadyPage(const RouterProcess& aProcess) -> Page
{
  const bool ready = aProcess.Node().IsReady();
  return { ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n" };
}

auto StatusPage(const RouterProcess& aProcess) -> Page
{
  return { 200, "application/json", aProcess.StatusBody() };
}

auto HistoryPage(const RouterProcess& aProcess) -> Page
{
  return { 200, "application/json", HistoryJson(aProcess.Node()) };
}

auto MetricsPage(const RouterProcess& aProcess) -> Page
{
  return { 200, "text/plain; version=0.0.4", aProcess.MetricsBody() };
}

constexpr std::array kPageTable{
  PageRow{ "/health", HealthPage },   PageRow{ "/ready", ReadyPage },
  PageRow{ "/status", StatusPage },   PageRow{ "/history", HistoryPage },
  PageRow{ "/metrics", MetricsPage },
};

auto MakePage(const RouterProcess& aProcess, std::string_view aPath) -> Page
{
  for (const auto& row : kPageTable) {
    if (row.path_ == aPath) {
      return row.make_(aProcess);
    }
  }
  return { 404, "application/json", ErrorBody("no_such_page", "") };
}

} // namespace

auto MakeOperatorHandler(const RouterProcess* aProcess) -> HttpHandler
{
  return [aProcess](HttpRequest aRequest,
                    HttpResponder* aResponder) -> boost::asio::awaitable<void> {
    auto page = MakePage(
      *aProcess, { aRequest.target().data(), aRequest.target().size() });
    co_await aResponder->Whole(page.status_, std::move(page.type_),
                               std::move(page.body_), HttpFields());
  };
}

} // namespace burdockring
