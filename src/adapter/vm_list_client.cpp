#include "adapter/vm_list_client.h"

#include "absl/status/status.h"

#include <nlohmann/json.hpp>

namespace burdockring {
namespace {

constexpr Duration kReadTimeout = 2s;
constexpr int kOk = 200;
constexpr auto kListPath = "/v1/vms";

auto ParseReply(const absl::StatusOr<HttpReply>& aReply)
  -> absl::StatusOr<VmListRead>
{
  if (!aReply.ok()) {
    return aReply.status();
  }
  if (aReply->status_ != kOk) {
    return absl::UnavailableError("the VM list refused the read");
  }
  return ParseVmList(aReply->body_);
}

} // namespace

auto ParseVmList(const std::string& aBody) -> absl::StatusOr<VmListRead>
{
  VmListRead list;
  try {
    const auto body = nlohmann::json::parse(aBody);
    for (const auto& row : body.at("routers")) {
      if (row.value("state", "live") == "leaving") {
        continue;
      }
      RouterAddress router;
      router.name_ = row.at("name").get<std::string>();
      router.zoneName_ = row.at("zone").get<std::string>();
      router.host_ = row.at("host").get<std::string>();
      router.peerPort_ = row.at("peer_port").get<std::uint16_t>();
      router.operatorPort_ = row.at("operator_port").get<std::uint16_t>();
      router.id_ = MakeId<RouterId>(router.name_);
      router.zone_ = MakeId<ZoneId>(router.zoneName_);
      list.routers_.push_back(std::move(router));
    }
    for (const auto& name : body.at("leaving_targets")) {
      list.leavingTargets_.push_back(MakeId<TargetId>(name.get<std::string>()));
    }
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return list;
}

VmListClient::VmListClient(Endpoint aEndpoint)
  : endpoint_(std::move(aEndpoint))
{
}

auto VmListClient::Read() const
  -> boost::asio::awaitable<absl::StatusOr<VmListRead>>
{
  const auto reply = co_await Fetch(endpoint_, HttpMethod::kGet, kListPath,
                                    std::string(), kReadTimeout);
  co_return ParseReply(reply);
}

auto VmListClient::ReadBlocking() const -> absl::StatusOr<VmListRead>
{
  return ParseReply(
    FetchBlocking(endpoint_, HttpMethod::kGet, kListPath, {}, kReadTimeout));
}

} // namespace burdockring
