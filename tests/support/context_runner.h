#ifndef BURDOCKRING_TESTS_SUPPORT_CONTEXT_RUNNER_H
#define BURDOCKRING_TESTS_SUPPORT_CONTEXT_RUNNER_H

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace burdockring {

/// A context whose work a test runs step by step.
struct ContextRunner
{
  boost::asio::io_context context_{ 1 };

  /// Runs the context until the condition holds. Returns whether it does within
  /// six seconds.
  template<typename Condition>
  auto RunUntil(const Condition& aCondition) -> bool
  {
    constexpr int kPolls = 600;
    for (int i = 0; i < kPolls; ++i) {
      if (aCondition()) {
        return true;
      }
      context_.run_for(std::chrono::milliseconds(10));
    }
    return false;
  }
};

} // namespace burdockring

#endif
