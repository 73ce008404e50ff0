#ifndef BURDOCKRING_ADAPTER_READ_ANSWER_H
#define BURDOCKRING_ADAPTER_READ_ANSWER_H

#include "base/http_rules.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>

namespace burdockring {

/// The error of a head that the parser takes for one though it is none.
template<typename Fields>
auto CheckAnswerHead(int aStatus, const Fields& aFields)
  -> boost::beast::error_code
{
  namespace http = boost::beast::http;
  if (!IsAnswerStatus(aStatus)) {
    return http::error::bad_status;
  }
  const auto codings = aFields.equal_range(http::field::transfer_encoding);
  for (auto coding = codings.first; coding != codings.second; ++coding) {
    const auto value = coding->value();
    if (!IsKnownTransferCoding({ value.data(), value.size() })) {
      return http::error::bad_transfer_encoding;
    }
  }
  return {};
}

/// Reads the head of an answer into a new parser, and drops the interim heads
/// before it. An error says that the connection failed, or that the bytes are
/// no answer.
template<typename Body>
auto ReadAnswerHead(
  boost::beast::tcp_stream* aStream,
  boost::beast::flat_buffer* aBuffer,
  std::optional<boost::beast::http::response_parser<Body>>* aParser,
  boost::optional<std::uint64_t> aBodyLimit)
  -> boost::asio::awaitable<boost::beast::error_code>
{
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  constexpr int kMaxInterimHeads = 16;
  constexpr int kFirstFinalStatus = 200;
  for (int heads = 0; heads <= kMaxInterimHeads; ++heads) {
    aParser->emplace();
    (*aParser)->body_limit(aBodyLimit);
    const auto [error, bytes] = co_await http::async_read_header(
      *aStream, *aBuffer, **aParser, asio::as_tuple(asio::use_awaitable));
    if (error) {
      co_return error;
    }
    const auto& head = (*aParser)->get();
    const auto status = static_cast<int>(head.result_int());
    const auto invalid = CheckAnswerHead(status, head.base());
    if (invalid || status >= kFirstFinalStatus) {
      co_return invalid;
    }
  }
  co_return boost::beast::error_code(http::error::header_limit);
}

} // namespace burdockring

#endif
