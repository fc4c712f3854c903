// libFuzzer target for the decoders. The first byte of the input selects one. A
// message that decodes must encode, and decoding and encoding it again must
// give the same bytes. Decoders without an encoder must not crash. Built and
// run by tests/run_fuzz.sh.

#include <array>
#include <cstdlib>
#include <string_view>

#include "platform/entry_decoder.h"
#include "platform/packet_codec.h"
#include "src/shell/http_response_parser.h"
#include "src/wire/coap_codec.h"
#include "src/wire/flow_codec.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {
namespace {

template <typename Decode, typename Encode>
void CheckRoundTrip(ByteView input, Decode decode, Encode encode) {
  const auto first = decode(input);
  if (!first) {
    return;
  }
  const Bytes bytes = encode(*first);
  const auto second = decode(bytes);
  if (bytes.empty() || !second || encode(*second) != bytes) {
    std::abort();
  }
}

void CheckCoap(ByteView input) {
  CheckRoundTrip(input, DecodeCoap, EncodeCoap);
}

void CheckEnvelope(ByteView input) {
  CheckRoundTrip(input, DecodeEnvelope, EncodeEnvelope);
}

void CheckNotice(ByteView input) {
  CheckRoundTrip(
      input, [](ByteView bytes) { return DecodeFlowNotice(bytes, 1); },
      EncodeFlowNotice);
}

void CheckGossip(ByteView input) {
  CheckRoundTrip(
      input,
      [](ByteView bytes) {
        return DecodeFlowGossip(bytes, Endpoint{1, 2});
      },
      EncodeFlowGossip);
}

// Checks that a mark that was set can be decoded, that the sequence number is
// unchanged and that the flag BOUNCED is cleared.
void CheckPacket(ByteView input) {
  const platform::PacketCodec codec;
  const auto packet = codec.Decode(input, input.size() % 2 == 0);
  if (!packet) {
    return;
  }
  Bytes bytes(input.begin(), input.end());
  codec.SetMark(bytes, {MarkPurpose::kSearch, 7, 9});
  const auto marked = codec.Decode(bytes, false);
  if (!marked || marked->mark.balancer != 9 ||
      marked->sequence != packet->sequence || marked->returned) {
    std::abort();
  }
}

void CheckEntry(ByteView input) {
  const std::string_view text(reinterpret_cast<const char*>(input.data()),
                              input.size());
  std::size_t unreadable = 0;
  platform::DecodeServer("name", text);
  platform::DecodeRoutes(text, unreadable);
  platform::DecodeEra(text);
  for (const StoreSubject subject :
       {StoreSubject::kRoutes, StoreSubject::kServers}) {
    StoreCall call;
    call.subject = subject;
    platform::DecodeAnswer(call, text);
    call.kind = StoreCallKind::kWatch;
    platform::DecodeAnswer(call, text);
  }
}

// Checks that the result doesn't depend on the parts in which a response
// arrives.
void CheckHttpResponse(ByteView input) {
  constexpr std::size_t kMaxBodyBytes = 100;
  const std::string_view text(reinterpret_cast<const char*>(input.data()),
                              input.size());
  HttpResponseParser whole(kMaxBodyBytes);
  HttpResponseParser parts(kMaxBodyBytes);
  const HttpParseState state = whole.Append(text);
  HttpParseState last = HttpParseState::kIncomplete;
  for (std::size_t i = 0; i < text.size(); ++i) {
    last = parts.Append(text.substr(i, 1));
  }
  const std::string body = whole.TakeBody();
  const bool complete = state == HttpParseState::kComplete;
  if (state != last || body.size() > kMaxBodyBytes ||
      (complete && body != parts.TakeBody())) {
    std::abort();
  }
}

constexpr std::array kChecks = {&CheckCoap,        &CheckEnvelope, &CheckNotice,
                                &CheckGossip,      &CheckPacket,   &CheckEntry,
                                &CheckHttpResponse};

}  // namespace
}  // namespace cactuscross

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace cactuscross;  // NOLINT(google-build-using-namespace)
  if (size == 0) {
    return 0;
  }
  const ByteView input(data + 1, size - 1);
  kChecks.at(data[0] % kChecks.size())(input);
  return 0;
}
