#ifndef BURDOCKRING_CONNECTION_MESSAGE_READER_H
#define BURDOCKRING_CONNECTION_MESSAGE_READER_H

#include "base/http_fields.h"
#include "base/http_rules.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace burdockring {

/// The start line and header of an HTTP message.
struct MessageHead
{
  /// Of a request.
  std::string method_;
  std::string target_;
  /// Of a response.
  int status_ = 0;
  /// Minor version of HTTP/1.
  int minorVersion_ = 1;
  HttpFields fields_;
};

/// Limits on what a message may contain beside its body.
struct FramingLimits
{
  std::size_t fields_ = SIZE_MAX;
  /// An incomplete chunk header, and the extensions of a complete one.
  std::size_t chunkHeaderBytes_ = SIZE_MAX;
  std::size_t trailerBytes_ = SIZE_MAX;
  /// Bytes of framing beyond framingRatio_ times the body's.
  std::size_t framingSlack_ = SIZE_MAX;
  std::size_t framingRatio_ = 0;
};

/// Reads one HTTP/1 message from bytes as they come. The body is handed on as
/// it was before transfer coding. Trailers are dropped.
template<bool kIsRequest>
class MessageReader : public boost::beast::http::basic_parser<kIsRequest>
{
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  static constexpr int kMinorOfVersion = 10;

  MessageHead head_;
  std::string body_;
  bool hasHead_ = false;
  bool isInTrailers_ = false;
  bool isOverLimits_ = false;
  FramingLimits limits_;
  std::size_t headBytes_ = 0;
  /// Bytes behind the head that are not of the body.
  std::size_t framingBytes_ = 0;
  std::size_t payloadBytes_ = 0;

  /// Space for a body that has this many bytes so far: doubled as it grows, but
  /// not beyond a length that the head stated.
  [[nodiscard]] auto SpaceFor(std::size_t aNeeded) const -> std::size_t
  {
    if (aNeeded <= body_.capacity()) {
      return body_.capacity();
    }
    const auto doubled = std::max(aNeeded, 2 * body_.capacity());
    const auto length = this->content_length();
    return length && *length >= aNeeded
             ? std::min<std::size_t>(doubled, *length)
             : doubled;
  }

  auto AppendBody(View aBytes) -> void
  {
    payloadBytes_ += aBytes.size();
    const auto space = SpaceFor(body_.size() + aBytes.size());
    if (space > body_.capacity()) {
      // A string that has space already would at least double it.
      std::string larger;
      larger.reserve(space);
      larger.append(body_);
      body_.swap(larger);
    }
    body_.append(aBytes.data(), aBytes.size());
  }

  /// Whether unparsed bytes begin with the header of the last chunk.
  [[nodiscard]] static auto IsLastChunk(std::string_view aBytes) -> bool
  {
    const auto line =
      aBytes.substr(std::min(aBytes.find_first_not_of("\r\n"), aBytes.size()));
    const auto digits = std::min(line.find_first_not_of('0'), line.size());
    return digits > 0 &&
           line.substr(digits).find("\r\n") != std::string_view::npos &&
           (line[digits] == '\r' || line[digits] == ';');
  }

  [[nodiscard]] auto CheckFraming(std::size_t aUnparsed) const -> Error
  {
    namespace http = boost::beast::http;
    if (!hasHead_) {
      return {};
    }
    if (isInTrailers_ && aUnparsed > limits_.trailerBytes_) {
      return http::error::header_limit;
    }
    if (!isInTrailers_ && aUnparsed > limits_.chunkHeaderBytes_) {
      return http::error::bad_chunk_extension;
    }
    if (framingBytes_ > limits_.framingSlack_ &&
        framingBytes_ - limits_.framingSlack_ >
          limits_.framingRatio_ * payloadBytes_) {
      return http::error::bad_chunk;
    }
    return {};
  }

  auto on_request_impl(boost::beast::http::verb /*aVerb*/,
                       View aMethod,
                       View aTarget,
                       int aVersion,
                       Error& /*aError*/) -> void override
  {
    head_.method_ = std::string(aMethod);
    head_.target_ = std::string(aTarget);
    head_.minorVersion_ = aVersion % kMinorOfVersion;
  }
  auto on_response_impl(int aStatus,
                        View /*aReason*/,
                        int aVersion,
                        Error& aError) -> void override
  {
    if (!IsAnswerStatus(aStatus)) {
      aError = boost::beast::http::error::bad_status;
    }
    head_.status_ = aStatus;
    head_.minorVersion_ = aVersion % kMinorOfVersion;
  }
  auto on_field_impl(boost::beast::http::field aField,
                     View aName,
                     View aValue,
                     Error& aError) -> void override
  {
    if (hasHead_) {
      return;
    }
    if (head_.fields_.size() >= limits_.fields_) {
      isOverLimits_ = true;
      aError = boost::beast::http::error::header_limit;
      return;
    }
    // The server answers requests with other codings itself.
    if (!kIsRequest && aField == boost::beast::http::field::transfer_encoding &&
        !IsKnownTransferCoding(
          std::string_view(aValue.data(), aValue.size()))) {
      aError = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    headBytes_ += sizeof(HttpField) + aName.size() + aValue.size();
    head_.fields_.push_back({ std::string(aName), std::string(aValue) });
  }
  auto on_header_impl(Error& /*aError*/) -> void override { hasHead_ = true; }
  auto on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         Error& /*aError*/) -> void override
  {
  }
  auto on_body_impl(View aBody, Error& /*aError*/) -> std::size_t override
  {
    AppendBody(aBody);
    return aBody.size();
  }
  auto on_chunk_header_impl(std::uint64_t /*aSize*/,
                            View aExtensions,
                            Error& aError) -> void override
  {
    if (aExtensions.size() > limits_.chunkHeaderBytes_) {
      isOverLimits_ = true;
      aError = boost::beast::http::error::bad_chunk_extension;
    }
  }
  auto on_chunk_body_impl(std::uint64_t /*aRemain*/,
                          View aBody,
                          Error& /*aError*/) -> std::size_t override
  {
    AppendBody(aBody);
    return aBody.size();
  }
  auto on_finish_impl(Error& /*aError*/) -> void override {}

public:
  MessageReader(std::uint32_t aHeaderLimit, std::uint64_t aBodyLimit)
  {
    this->eager(true);
    this->header_limit(aHeaderLimit);
    this->body_limit(aBodyLimit);
  }

  auto SetLimits(const FramingLimits& aLimits) -> void { limits_ = aLimits; }

  /// Takes what it can of the buffer and removes that from it. An error says
  /// that the bytes are no message, or exceed a limit.
  auto Put(std::string* aBuffer) -> Error
  {
    Error error;
    std::size_t used = 0;
    while (used < aBuffer->size() && !this->is_done()) {
      const bool hadHead = hasHead_;
      const auto payloadBefore = payloadBytes_;
      const auto taken =
        this->put(boost::asio::const_buffer(aBuffer->data() + used,
                                            aBuffer->size() - used),
                  error);
      used += taken;
      if (hadHead) {
        framingBytes_ += taken - (payloadBytes_ - payloadBefore);
      }
      if (error || taken == 0) {
        break;
      }
    }
    aBuffer->erase(0, used);
    if (error == boost::beast::http::error::need_more) {
      // A chunk header of size zero begins the trailers.
      isInTrailers_ = hasHead_ && IsLastChunk(*aBuffer);
      error = CheckFraming(aBuffer->size());
      isOverLimits_ = error.failed();
    } else if (!error) {
      error = CheckFraming(0);
      isOverLimits_ = error.failed();
    }
    return error;
  }

  /// The connection ended; an error where the message isn't complete.
  auto PutEnd() -> Error
  {
    Error error;
    if (!this->is_done()) {
      this->put_eof(error);
    }
    return error;
  }

  /// Whether the error of Put is that of one of FramingLimits.
  [[nodiscard]] auto IsOverLimits() const -> bool { return isOverLimits_; }
  [[nodiscard]] auto HasHead() const -> bool { return hasHead_; }
  [[nodiscard]] auto Head() const -> const MessageHead& { return head_; }
  [[nodiscard]] auto HasBegun() const -> bool { return this->got_some(); }
  /// Takes the part of the body that came since the last call.
  auto TakeBody() -> std::string { return std::exchange(body_, {}); }
  [[nodiscard]] auto BodySize() const -> std::size_t { return body_.size(); }
  /// Bytes of memory that the head and the body take.
  [[nodiscard]] auto HeadMemory() const -> std::size_t { return headBytes_; }
  [[nodiscard]] auto BodyMemory() const -> std::size_t
  {
    return body_.capacity();
  }
  /// Memory that the body takes in addition with so many more bytes.
  [[nodiscard]] auto BodyGrowth(std::size_t aBytes) const -> std::size_t
  {
    return hasHead_ ? SpaceFor(body_.size() + aBytes) - body_.capacity()
                    : aBytes;
  }
};

using RequestReader = MessageReader<true>;
using AnswerReader = MessageReader<false>;

} // namespace burdockring

#endif
