#include "support/stream_answers.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace burdockring {
namespace {

namespace asio = boost::asio;

using CallerWithoutChunksTest = StreamAnswerTest;

// A caller without chunks takes a plain close for the end of its answer.
TEST_F(CallerWithoutChunksTest, CutStreamEndsInAReset)
{
  SetScripts([](const std::string&) {
    return ScriptedAnswer{ kUnframedStream + kFirstEvent + kCut, true };
  });
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({ asio::ip::make_address("127.0.0.1"), kCallerPort }, error);
  asio::write(socket,
              asio::buffer(std::string("POST /talk/x HTTP/1.0\r\nHost: h\r\n"
                                       "X-Attempt-Id: a1\r\n"
                                       "Content-Length: 0\r\n\r\n")),
              error);
  std::array<char, 4096> bytes{};
  while (!error) {
    socket.read_some(asio::buffer(bytes), error);
  }
  EXPECT_EQ(error, asio::error::connection_reset);
}

} // namespace
} // namespace burdockring
