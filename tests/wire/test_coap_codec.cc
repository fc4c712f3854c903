#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "src/wire/coap_codec.h"

namespace cactuscross {
namespace {

Bytes ToBytes(std::string_view text) {
  return Bytes(text.begin(), text.end());
}

CoapMessage MakeFullMessage() {
  CoapMessage message;
  message.code = CoapCode::kPost;
  message.message_id = 0xBEEF;
  message.token = {1, 2, 3, 4, 5, 6, 7, 8};
  message.uri_path = "claims/new//x%2Fy%25";
  message.uri_query = "a=1&b=%26";
  message.observe = 0;
  message.block1 = CoapBlock{1048575, true, 6};
  message.block2 = CoapBlock{0, false, 0};
  message.size1 = 1048576;
  message.size2 = 0;
  message.echo = Bytes(40, 0xEC);
  message.request_tag = Bytes{};
  message.etag = Bytes{9};
  message.max_age = 30;
  message.content_format = 65535;
  message.payload = ToBytes("body");
  return message;
}

void AssertSame(const CoapMessage& a, const CoapMessage& b) {
  CPPUNIT_ASSERT(a.type == b.type);
  CPPUNIT_ASSERT(a.code == b.code);
  CPPUNIT_ASSERT_EQUAL(a.message_id, b.message_id);
  CPPUNIT_ASSERT(a.token == b.token);
  CPPUNIT_ASSERT_EQUAL(a.uri_path, b.uri_path);
  CPPUNIT_ASSERT_EQUAL(a.uri_query, b.uri_query);
  CPPUNIT_ASSERT(a.observe == b.observe);
  CPPUNIT_ASSERT_EQUAL(a.block1->number, b.block1->number);
  CPPUNIT_ASSERT_EQUAL(a.block1->more, b.block1->more);
  CPPUNIT_ASSERT_EQUAL(a.block2->size_exponent, b.block2->size_exponent);
  CPPUNIT_ASSERT(a.size1 == b.size1);
  CPPUNIT_ASSERT(a.size2 == b.size2);
  CPPUNIT_ASSERT(a.echo == b.echo);
  CPPUNIT_ASSERT(a.request_tag == b.request_tag);
  CPPUNIT_ASSERT(a.etag == b.etag);
  CPPUNIT_ASSERT(a.max_age == b.max_age);
  CPPUNIT_ASSERT(a.content_format == b.content_format);
  CPPUNIT_ASSERT(a.payload == b.payload);
}

// Checks that `datagram` cannot be decoded and returns the error code.
ResultCode RejectionCode(const Bytes& datagram) {
  const auto message = DecodeCoap(datagram);
  CPPUNIT_ASSERT(!message);
  return message.error();
}

class CoapCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoapCodecTest);
  CPPUNIT_TEST(EveryFieldRoundTrips);
  CPPUNIT_TEST(EncodingMatchesTheRfcExample);
  CPPUNIT_TEST(EmptyMessageIsHeaderOnly);
  CPPUNIT_TEST(FormatErrorsAreMalformed);
  CPPUNIT_TEST(UnsupportedCriticalOptionIsRejected);
  CPPUNIT_TEST(UnknownElectiveOptionsAreIgnored);
  CPPUNIT_TEST(HostPortAndAcceptAreIgnored);
  CPPUNIT_TEST(EmptyPathSegmentsAreKeptAndEmptyQueryPartsAreDropped);
  CPPUNIT_TEST(InvalidFieldsAreNotEncoded);
  CPPUNIT_TEST(HeaderIsDecodedFromARejectedMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryFieldRoundTrips() {
    const CoapMessage message = MakeFullMessage();
    const Bytes datagram = EncodeCoap(message);
    CPPUNIT_ASSERT(!datagram.empty());
    const auto decoded = DecodeCoap(datagram);
    CPPUNIT_ASSERT(decoded.has_value());
    AssertSame(message, *decoded);
  }

  void EncodingMatchesTheRfcExample() {
    // RFC 7252, appendix A, figure 16: GET /temperature.
    const Bytes datagram = {0x40, 0x01, 0x7d, 0x34, 0xbb, 't', 'e', 'm',
                            'p',  'e',  'r',  'a',  't',  'u', 'r', 'e'};
    const auto decoded = DecodeCoap(datagram);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("temperature"), decoded->uri_path);
    CPPUNIT_ASSERT(EncodeCoap(*decoded) == datagram);
  }

  void EmptyMessageIsHeaderOnly() {
    CPPUNIT_ASSERT(DecodeCoap(Bytes{0x60, 0, 0, 1}).has_value());
    CPPUNIT_ASSERT(RejectionCode({0x61, 0, 0, 1, 7}) ==
                   ResultCode::kMalformedDatagram);
    CPPUNIT_ASSERT(RejectionCode({0x60, 0, 0, 1, 0xFF, 7}) ==
                   ResultCode::kMalformedDatagram);
  }

  void FormatErrorsAreMalformed() {
    const Bytes cases[] = {
        {},
        {0x40, 1, 0},
        {0x80, 1, 0, 1},                             // version 2
        {0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9},  // token of 9 bytes
        {0x44, 1, 0, 1, 1, 2},                       // token cut short
        {0x40, 0x21, 0, 1},                          // reserved code class
        {0x40, 1, 0, 1, 0xFF},                       // marker without payload
        {0x40, 1, 0, 1, 0xB5, 'a'},                  // option cut short
        {0x40, 1, 0, 1, 0xF1, 'a'},                  // reserved option delta
        {0x40, 1, 0, 1, 0xD1, 10, 0x07},  // Block2 with reserved size 7
    };
    for (const Bytes& datagram : cases) {
      CPPUNIT_ASSERT(RejectionCode(datagram) == ResultCode::kMalformedDatagram);
    }
  }

  void UnsupportedCriticalOptionIsRejected() {
    CPPUNIT_ASSERT(RejectionCode({0x40, 1, 0, 1, 0x91, 1}) ==
                   ResultCode::kUnsupportedOption);  // option 9
    CPPUNIT_ASSERT(RejectionCode({0x40, 1, 0, 1, 0x50, 0x20, 0xD1, 7, 'x'}) ==
                   ResultCode::kUnsupportedOption);  // If-None-Match
    CPPUNIT_ASSERT(RejectionCode({0x40, 1, 0, 1, 0xD1, 10, 0x06, 0x01, 0x06}) ==
                   ResultCode::kUnsupportedOption);  // Block2 twice
  }

  void UnknownElectiveOptionsAreIgnored() {
    // Location-Path (8) is elective and not defined for requests.
    const auto decoded = DecodeCoap(Bytes{0x40, 1, 0, 1, 0x81, 'x', 0x31, 'y'});
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("y"), decoded->uri_path);
  }

  void HostPortAndAcceptAreIgnored() {
    const auto decoded = DecodeCoap(
        Bytes{0x40, 1, 0, 1, 0x31, 'h', 0x42, 0x16, 0x33, 0x41, 'p', 0x60});
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("p"), decoded->uri_path);
  }

  void EmptyPathSegmentsAreKeptAndEmptyQueryPartsAreDropped() {
    CoapMessage message;
    message.code = CoapCode::kGet;
    message.uri_path = "a//b/";
    message.uri_query = "&a&&b&";
    const auto decoded = DecodeCoap(EncodeCoap(message));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a//b/"), decoded->uri_path);
    CPPUNIT_ASSERT_EQUAL(std::string("a&b"), decoded->uri_query);
  }

  void InvalidFieldsAreNotEncoded() {
    CoapMessage message;
    message.token = Bytes(9);
    CPPUNIT_ASSERT(EncodeCoap(message).empty());
    message = {};
    message.echo = Bytes(41);
    CPPUNIT_ASSERT(EncodeCoap(message).empty());
    message = {};
    message.uri_path = std::string(256, 'a');
    CPPUNIT_ASSERT(EncodeCoap(message).empty());
    message = {};
    message.block1 = CoapBlock{0, false, 7};
    CPPUNIT_ASSERT(EncodeCoap(message).empty());
    message = {};
    message.payload = Bytes(kMaxDatagramBytes);
    CPPUNIT_ASSERT(EncodeCoap(message).empty());
  }

  void HeaderIsDecodedFromARejectedMessage() {
    const Bytes datagram = {0x41, 1, 0x12, 0x34, 0xAA, 0x91, 1};
    CPPUNIT_ASSERT(RejectionCode(datagram) == ResultCode::kUnsupportedOption);
    const auto header = DecodeCoapHeader(datagram);
    CPPUNIT_ASSERT(header.has_value());
    CPPUNIT_ASSERT(header->type == CoapType::kConfirmable);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0x1234}, header->message_id);
    CPPUNIT_ASSERT(header->token == Bytes{0xAA});
    CPPUNIT_ASSERT(!DecodeCoapHeader(Bytes{0x40, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoapCodecTest);

}  // namespace
}  // namespace cactuscross
