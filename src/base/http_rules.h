#ifndef BURDOCKRING_BASE_HTTP_RULES_H
#define BURDOCKRING_BASE_HTTP_RULES_H

#include <string_view>

namespace burdockring {

// Rules of RFC 9110 and 9112 on messages, for all that read or write them.

/// Whether a status can begin an answer: RFC 9110 defines the classes 100 to
/// 599. 101 answers only a request to switch protocols, which the router never
/// makes.
constexpr auto IsAnswerStatus(int aStatus) -> bool
{
  constexpr int kFirst = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast &&
         aStatus != kSwitchingProtocols;
}

/// Whether a final answer with this status ends with its head, whatever its
/// fields state. So does any answer to HEAD.
constexpr auto IsBodilessStatus(int aStatus) -> bool
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// Whether the text can be the value of a field as it is: not empty, without
/// control characters but tabs, and without blanks at either end.
auto IsFieldValue(std::string_view aText) -> bool;

/// Whether the program decodes a message with this value of Transfer-Encoding:
/// of chunks alone. Of other codings it knows neither the body nor its end.
auto IsKnownTransferCoding(std::string_view aValue) -> bool;

} // namespace burdockring

#endif
