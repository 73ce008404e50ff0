#include "adapter/log_client.h"
#include "adapter/vm_list_client.h"
#include "base/yaml_reader.h"
#include "main/command_table.h"
#include "main/flags.h"
#include "version/config_reader.h"
#include "version/config_replica.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace burdockring {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr Duration kAppendTimeout = 2s;
constexpr Duration kVerdictTimeout = 10s;
constexpr Duration kStatusTimeout = 1s;
constexpr Duration kPollInterval = 100ms;

/// Replays the log into a replica, from outside the fleet.
class LogReplay
{
  LogClient client_;
  ConfigReplica replica_;
  LogOffset next_ = 0;

public:
  explicit LogReplay(Endpoint aLog)
    : client_(std::move(aLog))
  {
  }

  /// Reads up to the log's end as of now.
  auto CatchUp() -> absl::Status
  {
    while (true) {
      const auto batch = client_.ReadBlocking(next_, 0us);
      if (!batch.ok()) {
        return batch.status();
      }
      replica_.BeginRead(batch->first_);
      for (const auto& entry : batch->entries_) {
        const auto records = DecodeRecords(entry.payload_);
        if (!records.ok()) {
          continue;
        }
        for (const auto& record : *records) {
          if (const auto* change = std::get_if<ConfigChange>(&record)) {
            replica_.Apply(entry.offset_, *change);
          } else if (const auto* old = std::get_if<ConfigSnapshot>(&record)) {
            replica_.Apply(entry.offset_, *old);
          }
        }
      }
      replica_.EndRead(batch->next_);
      next_ = batch->next_;
      if (next_ >= batch->end_) {
        return absl::OkStatus();
      }
    }
  }

  [[nodiscard]] auto Replica() const -> const ConfigReplica&
  {
    return replica_;
  }

  [[nodiscard]] auto Client() const -> const LogClient& { return client_; }

  /// The judgement of a change, or none while the log has not shown it.
  [[nodiscard]] auto FindVerdict(const std::string& aChangeId) const
    -> std::optional<HistoryRow>
  {
    for (const auto& row : replica_.History()) {
      if (row.changeId_ == aChangeId) {
        return row;
      }
    }
    return std::nullopt;
  }
};

auto Report(const json& aReport, const std::string& aText) -> void
{
  if (FLAGS_json) {
    std::cout << aReport.dump() << '\n';
  } else {
    std::cout << aText << '\n';
  }
}

/// One router as its operators' listener shows it.
struct RouterView
{
  std::string name_;
  std::string zone_;
  bool reached_ = false;
  json status_;

  [[nodiscard]] auto Version() const -> ConfigNumber
  {
    return reached_ ? status_["config"]["version"].get<ConfigNumber>() : -1;
  }
};

auto ReadRouters() -> absl::StatusOr<std::vector<RouterView>>
{
  const auto address = ParseEndpoint(FLAGS_vms);
  if (!address.ok()) {
    return address.status();
  }
  const auto list = VmListClient(*address).ReadBlocking();
  if (!list.ok()) {
    return list.status();
  }
  std::vector<RouterView> views;
  for (const auto& router : list->routers_) {
    RouterView view{ router.name_, router.zoneName_, false, {} };
    const auto reply =
      FetchBlocking({ router.host_, router.operatorPort_ }, HttpMethod::kGet,
                    "/status", {}, kStatusTimeout);
    if (reply.ok()) {
      view.status_ = json::parse(reply->body_, nullptr, false);
      view.reached_ = view.status_.is_object();
    }
    views.push_back(std::move(view));
  }
  return views;
}

/// Waits until every router of the VM list has the version; names the others.
auto WaitInForce(ConfigNumber aVersion) -> ExitCode
{
  const auto start = Clock::now();
  const auto end = start + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(FLAGS_wait));
  std::string missing;
  while (true) {
    const auto views = ReadRouters();
    missing = views.ok() ? "" : std::string(views.status().message());
    if (views.ok()) {
      for (const auto& view : *views) {
        if (view.Version() < aVersion) {
          missing += ' ' + view.name_ + (view.reached_ ? "" : "(unreached)");
        }
      }
    }
    if (missing.empty()) {
      const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - start);
      Report({ { "in_force_everywhere", true }, { "ms", took.count() } },
             "in force on every router after " + std::to_string(took.count()) +
               " ms");
      return ExitCode::kOk;
    }
    if (Clock::now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  Report({ { "in_force_everywhere", false }, { "missing", missing } },
         "not yet in force at:" + missing);
  return ExitCode::kFailed;
}

/// Appends the change and waits for the log's own verdict on it.
auto AppendAndJudge(LogReplay* aReplay, const ConfigChange& aChange)
  -> absl::StatusOr<HistoryRow>
{
  const auto payload = EncodeRecords({ aChange });
  const auto appended =
    aReplay->Client().AppendBlocking(payload, kAppendTimeout);
  if (appended.status().code() == absl::StatusCode::kUnavailable) {
    return absl::UnavailableError("not published: the log can't be reached");
  }
  // A lost reply is settled by reading the log.
  const auto end = Clock::now() + kVerdictTimeout;
  while (Clock::now() < end) {
    const auto status = aReplay->CatchUp();
    const auto verdict = aReplay->FindVerdict(aChange.changeId_);
    if (status.ok() && verdict) {
      return *verdict;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return absl::DeadlineExceededError(
    "unknown: the log did not show the change; publish the same files again "
    "to learn its fate, which can't make two changes of it");
}

auto ReadSources(const CommandArguments& aArguments, FindingList* aFindings)
  -> std::vector<ConfigSource>
{
  std::vector<ConfigSource> sources;
  for (const auto& path : aArguments) {
    auto text = ReadTextFile(path, aFindings);
    if (text) {
      sources.push_back({ path, std::move(*text) });
    }
  }
  return sources;
}

} // namespace

auto RunPublish(const CommandArguments& aArguments) -> ExitCode
{
  const auto address = ParseEndpoint(FLAGS_log);
  if (aArguments.empty() || !address.ok()) {
    std::cerr << "burdockring publish: name the files and --log IP:PORT\n";
    return ExitCode::kUsage;
  }
  FindingList findings;
  const auto sources = ReadSources(aArguments, &findings);
  const auto set = ReadConfigSet(sources, &findings);
  std::cerr << findings.ToText();
  if (findings.HasErrors()) {
    std::cerr << "not published: " << findings.ErrorCount() << " errors\n";
    return ExitCode::kFailed;
  }
  LogReplay replay(*address);
  const auto status = replay.CatchUp();
  if (!status.ok() || !replay.Replica().IsSynchronized()) {
    std::cerr << "not published: the log can't be read: " << status.message()
              << '\n';
    return ExitCode::kFailed;
  }
  const auto& current = replay.Replica().Current();
  const auto text = JoinConfigSources(sources);
  if (current.text_ == text) {
    Report({ { "verdict", "duplicate" }, { "version", current.version_ } },
           "already in force as version " + std::to_string(current.version_));
    return FLAGS_wait > 0 ? WaitInForce(current.version_) : ExitCode::kOk;
  }
  ConfigChange change;
  change.base_ = FLAGS_base >= 0 ? FLAGS_base : current.version_;
  change.text_ = text;
  change.operator_ = FLAGS_operator_name;
  change.changeId_ = MakeChangeId(change.base_, text);
  const auto verdict = AppendAndJudge(&replay, change);
  if (!verdict.ok()) {
    std::cerr << verdict.status().message() << '\n';
    return ExitCode::kFailed;
  }
  const bool accepted = verdict->result_ == ChangeResult::kAccepted;
  Report({ { "verdict", ResultName(verdict->result_) },
           { "version", verdict->version_ },
           { "change", change.changeId_ } },
         std::string(ResultName(verdict->result_)) + " at version " +
           std::to_string(verdict->version_));
  if (!accepted) {
    std::cerr << "the change was based on version " << change.base_
              << "; look at history, merge and publish again\n";
    return ExitCode::kFailed;
  }
  return FLAGS_wait > 0 ? WaitInForce(verdict->version_) : ExitCode::kOk;
}

auto RunStatus(const CommandArguments& aArguments) -> ExitCode
{
  if (!aArguments.empty()) {
    std::cerr << "burdockring status takes no arguments\n";
    return ExitCode::kUsage;
  }
  const auto views = ReadRouters();
  if (!views.ok()) {
    std::cerr << "the VM list can't be read: " << views.status().message()
              << '\n';
    return ExitCode::kFailed;
  }
  if (FLAGS_json) {
    auto rows = json::array();
    for (const auto& view : *views) {
      rows.push_back({ { "name", view.name_ },
                       { "zone", view.zone_ },
                       { "reached", view.reached_ },
                       { "status", view.status_ } });
    }
    std::cout << rows.dump(2) << '\n';
    return ExitCode::kOk;
  }
  std::cout << std::left << std::setw(24) << "router" << std::setw(16) << "zone"
            << std::setw(10) << "state" << std::setw(9) << "version"
            << std::setw(10) << "requests"
            << "whole\n";
  for (const auto& view : *views) {
    std::cout << std::setw(24) << view.name_ << std::setw(16) << view.zone_;
    if (!view.reached_) {
      std::cout << "unreached\n";
      continue;
    }
    const auto& status = view.status_;
    const bool stopping = status["stopping"].get<bool>();
    const bool ready = status["ready"].get<bool>();
    std::cout << std::setw(10)
              << (stopping ? "stopping" : (ready ? "ready" : "not ready"))
              << std::setw(9) << view.Version() << std::setw(10)
              << status["requests"].get<int>()
              << status["counters"]["whole"].get<std::int64_t>() << '\n';
  }
  return ExitCode::kOk;
}

auto RunHistory(const CommandArguments& aArguments) -> ExitCode
{
  const auto address = ParseEndpoint(FLAGS_log);
  if (!aArguments.empty() || !address.ok()) {
    std::cerr << "burdockring history: give --log IP:PORT and no more\n";
    return ExitCode::kUsage;
  }
  LogReplay replay(*address);
  const auto status = replay.CatchUp();
  if (!status.ok()) {
    std::cerr << "the log can't be read: " << status.message() << '\n';
    return ExitCode::kFailed;
  }
  auto rows = json::array();
  for (const auto& row : replay.Replica().History()) {
    rows.push_back({ { "offset", row.offset_ },
                     { "operator", row.operator_ },
                     { "base", row.base_ },
                     { "version", row.version_ },
                     { "verdict", ResultName(row.result_) },
                     { "change", row.changeId_ } });
    if (!FLAGS_json) {
      std::cout << row.offset_ << ' ' << row.operator_ << " base " << row.base_
                << ' ' << ResultName(row.result_) << " version " << row.version_
                << ' ' << row.changeId_.substr(0, 12) << '\n';
    }
  }
  if (FLAGS_json) {
    std::cout << rows.dump(2) << '\n';
  }
  return ExitCode::kOk;
}

} // namespace burdockring
