// The transition table has more rows than MPL's preprocessed headers support.
// The limits must be defined before the first Boost header is included.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "request/request_state_machine.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace burdockring {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template<RequestState Value>
struct StateType : msm::front::state<>
{
  static constexpr RequestState kValue = Value;
};

using Claiming = StateType<RequestState::kClaiming>;
using Queued = StateType<RequestState::kQueued>;
using Connecting = StateType<RequestState::kConnecting>;
using Running = StateType<RequestState::kRunning>;
using Requeued = StateType<RequestState::kRequeued>;
using Reconnecting = StateType<RequestState::kReconnecting>;
using Rerunning = StateType<RequestState::kRerunning>;
using Whole = StateType<RequestState::kWhole>;
using NotRun = StateType<RequestState::kNotRun>;
using Unknown = StateType<RequestState::kUnknown>;
using Abandoned = StateType<RequestState::kAbandoned>;

struct MachineDefinition : msm::front::state_machine_def<MachineDefinition>
{
  // Boost.MSM requires these two names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using initial_state = Claiming;
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector<
        Row<Claiming, ClaimAcquired, Queued, none, none>,
        Row<Claiming, GivenUp, NotRun, none, none>,
        Row<Claiming, CallerDisconnected, Abandoned, none, none>,
        Row<Queued, AttemptStarted, Connecting, none, none>,
        Row<Queued, GivenUp, NotRun, none, none>,
        Row<Queued, CallerDisconnected, Abandoned, none, none>,
        Row<Connecting, BytesSent, Running, none, none>,
        Row<Connecting, AttemptInterrupted, Queued, none, none>,
        Row<Connecting, GivenUp, NotRun, none, none>,
        Row<Connecting, CallerDisconnected, Abandoned, none, none>,
        Row<Running, EndMarkerReceived, Whole, none, none>,
        Row<Running, RejectedBeforeRun, Queued, none, none>,
        Row<Running, AttemptInterrupted, Requeued, none, none>,
        Row<Running, GivenUp, Unknown, none, none>,
        Row<Running, CallerDisconnected, Abandoned, none, none>,
        Row<Requeued, AttemptStarted, Reconnecting, none, none>,
        Row<Requeued, GivenUp, Unknown, none, none>,
        Row<Requeued, CallerDisconnected, Abandoned, none, none>,
        Row<Reconnecting, BytesSent, Rerunning, none, none>,
        Row<Reconnecting, AttemptInterrupted, Requeued, none, none>,
        Row<Reconnecting, GivenUp, Unknown, none, none>,
        Row<Reconnecting, CallerDisconnected, Abandoned, none, none>,
        Row<Rerunning, EndMarkerReceived, Whole, none, none>,
        Row<Rerunning, RejectedBeforeRun, Requeued, none, none>,
        Row<Rerunning, AttemptInterrupted, Requeued, none, none>,
        Row<Rerunning, GivenUp, Unknown, none, none>,
        Row<Rerunning, CallerDisconnected, Abandoned, none, none>>
  {
  };

  template<class Machine, class Event>
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto no_transition(const Event& /*aEvent*/, Machine& aMachine, int /*aState*/)
    -> void
  {
    aMachine.noTransition_ = true;
  }

  bool noTransition_ = false;
};

using Machine = msm::back::state_machine<MachineDefinition>;

/// Maps the state numbers of Boost.MSM to states. MSM numbers the states in
/// order of appearance in the transition table, sources before targets.
template<typename... States>
struct StateList
{
  static auto Find(const Machine& aMachine) -> RequestState
  {
    auto found = RequestState::kClaiming;
    const auto current = aMachine.current_state()[0];
    const auto test = [&]<typename State>() {
      using Numbers = Machine::stt;
      if (msm::back::get_state_id<Numbers, State>::value == current) {
        found = State::kValue;
      }
    };
    (test.template operator()<States>(), ...);
    return found;
  }
};

using AllStates = StateList<Claiming,
                            Queued,
                            Connecting,
                            Running,
                            Requeued,
                            Reconnecting,
                            Rerunning,
                            Whole,
                            NotRun,
                            Unknown,
                            Abandoned>;

struct StateRow
{
  RequestState state_;
  std::string_view name_;
  RunState giveUpState_;
  bool isFinal_;
};

constexpr std::array kStateTable{
  StateRow{ RequestState::kClaiming, "claiming", RunState::kNotRun, false },
  StateRow{ RequestState::kQueued, "queued", RunState::kNotRun, false },
  StateRow{ RequestState::kConnecting, "connecting", RunState::kNotRun, false },
  StateRow{ RequestState::kRunning, "running", RunState::kUnknown, false },
  StateRow{ RequestState::kRequeued, "requeued", RunState::kUnknown, false },
  StateRow{ RequestState::kReconnecting, "reconnecting", RunState::kUnknown,
            false },
  StateRow{ RequestState::kRerunning, "rerunning", RunState::kUnknown, false },
  StateRow{ RequestState::kWhole, "whole", RunState::kWhole, true },
  StateRow{ RequestState::kNotRun, "not_run", RunState::kNotRun, true },
  StateRow{ RequestState::kUnknown, "unknown", RunState::kUnknown, true },
  StateRow{ RequestState::kAbandoned, "abandoned", RunState::kUnknown, true },
};

auto FindStateRow(RequestState aState) -> const StateRow&
{
  return kStateTable.at(static_cast<std::size_t>(aState));
}

} // namespace

auto RequestStateName(RequestState aState) -> std::string_view
{
  return FindStateRow(aState).name_;
}

struct RequestStateMachine::Impl
{
  Machine machine_;
};

RequestStateMachine::RequestStateMachine()
  : impl_(std::make_unique<Impl>())
{
  impl_->machine_.start();
}

RequestStateMachine::~RequestStateMachine() = default;
RequestStateMachine::RequestStateMachine(RequestStateMachine&&) noexcept =
  default;
auto RequestStateMachine::operator=(RequestStateMachine&&) noexcept
  -> RequestStateMachine& = default;

auto RequestStateMachine::Process(const RequestEvent& aEvent) -> bool
{
  auto& machine = impl_->machine_;
  machine.noTransition_ = false;
  std::visit([&](const auto& aTyped) { machine.process_event(aTyped); },
             aEvent);
  return !machine.noTransition_;
}

auto RequestStateMachine::State() const -> RequestState
{
  return AllStates::Find(impl_->machine_);
}

auto RequestStateMachine::IsFinal() const -> bool
{
  return FindStateRow(State()).isFinal_;
}

auto RequestStateMachine::GiveUpState() const -> RunState
{
  return FindStateRow(State()).giveUpState_;
}

} // namespace burdockring
