#ifndef BURDOCKRING_MAIN_LOAD_DRIVER_H
#define BURDOCKRING_MAIN_LOAD_DRIVER_H

#include "adapter/http_fetch.h"
#include "version/config_set.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace burdockring {

/// A client account that load is sent for.
struct LoadAccount
{
  std::string name_;
  std::string token_;
  double weight_ = 1.0;
};

struct LoadOptions
{
  std::vector<Endpoint> routers_;
  std::vector<LoadAccount> accounts_;
  std::string service_ = "forecast";
  ServiceKind kind_ = ServiceKind::kEngine;
  double rate_ = 50;
  double seconds_ = 10;
  int meanTokens_ = 40;
  std::uint64_t seed_ = 1;
  bool keyed_ = false;
};

/// What an account's callers saw.
struct LoadResult
{
  std::int64_t sent_ = 0;
  std::int64_t whole_ = 0;
  std::int64_t notRun_ = 0;
  std::int64_t unknown_ = 0;
  /// Connections refused before anything was sent.
  std::int64_t unreached_ = 0;
  /// Answers that were cut or not the request's own.
  std::int64_t wrong_ = 0;
  std::int64_t tokens_ = 0;
  std::vector<double> firstTokenMs_;
  std::vector<double> totalMs_;
};

/// Sends requests at a rate, whatever their answers, spread over accounts and
/// routers by a seed, and checks that each answer is whole and the request's
/// own. A caller that can't connect tries the next router, as a balancer would.
class LoadDriver
{
  LoadOptions options_;
  boost::asio::io_context* context_;
  std::mt19937_64 random_;
  std::map<std::string, LoadResult> results_;
  std::int64_t open_ = 0;

  auto Pace(std::function<void(double)> aProgress)
    -> boost::asio::awaitable<void>;
  auto SendOne(std::size_t aAccount,
               std::size_t aRouter,
               int aTokens,
               std::string aPrompt,
               std::string aKey) -> boost::asio::awaitable<void>;
  auto TakeReply(const std::string& aAccount,
                 const HttpReply& aReply,
                 const std::string& aPrompt,
                 int aTokens) -> void;

public:
  LoadDriver(LoadOptions aOptions, boost::asio::io_context* aContext);

  /// Starts sending; the context runs until all answers are in.
  auto Start(std::function<void(double)> aProgress) -> void;
  [[nodiscard]] auto Results() const
    -> const std::map<std::string, LoadResult>&;
  [[nodiscard]] auto Total() const -> LoadResult;
};

/// A percentile (0 to 100) of the values, or zero.
auto Percentile(std::vector<double> aValues, double aPercent) -> double;

/// The results as a table and as JSON.
auto LoadTable(const LoadDriver& aDriver) -> std::string;
auto LoadJson(const LoadDriver& aDriver) -> std::string;

/// An SVG plot of each account's latencies at percentiles.
auto LoadPlot(const LoadDriver& aDriver) -> std::string;

/// The accounts of a set, with the tokens that the examples use.
auto AccountsOf(const ConfigSet& aSet, const std::string& aTokenPrefix)
  -> std::vector<LoadAccount>;

} // namespace burdockring

#endif
