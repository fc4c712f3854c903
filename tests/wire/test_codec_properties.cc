#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <unordered_map>

#include <rapidcheck/detail/TestListenerAdapter.h>

#include "src/wire/coap_codec.h"
#include "src/wire/peer_codec.h"
#include "tests/wire/aggregate.h"

namespace cactuscross {
namespace {

constexpr std::uint64_t kSeed = 20260101;
constexpr int kCases = 1000;

// Checks a property over kCases generated cases from a fixed seed.
template <typename Property>
void CheckProperty(Property&& property) {
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kCases;
  rc::detail::TestListenerAdapter listener;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata(), params,
      listener, std::unordered_map<std::string, rc::detail::Reproduce>());
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CPPUNIT_ASSERT_MESSAGE(message.str(),
                         result.template is<rc::detail::SuccessResult>());
}

PeerEnvelope ArbitraryEnvelope() {
  PeerEnvelope envelope;
  ArbitraryFiller().Fill(envelope);
  envelope.to.role = Role::kBalancer;  // role and zone of `to` are not encoded
  envelope.to.zone.clear();
  return envelope;
}

// Overwrites, removes or inserts bytes at 1 to 4 random positions, or truncates
// `bytes` there.
void Mutate(Bytes& bytes) {
  const int changes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const auto position =
        bytes.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(bytes.size()));
    const auto byte = *rc::gen::arbitrary<std::uint8_t>();
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        *position = byte;
        break;
      case 1:
        bytes.erase(position);
        break;
      case 2:
        bytes.insert(position, byte);
        break;
      default:
        bytes.erase(position, bytes.end());
        break;
    }
  }
}

class CodecPropertiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecPropertiesTest);
  CPPUNIT_TEST(CoapRoundTrips);
  CPPUNIT_TEST(EnvelopeRoundTrips);
  CPPUNIT_TEST(MutatedDatagramIsRejectedOrRoundTrips);
  CPPUNIT_TEST(MutatedEnvelopeIsRejectedOrRoundTrips);
  CPPUNIT_TEST(EnvelopeBeyondABoundIsRejected);
  CPPUNIT_TEST(EnvelopeWithoutBodyIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CoapRoundTrips() {
    CheckProperty([] {
      CoapMessage message;
      ArbitraryFiller().Fill(message);
      const auto decoded = DecodeCoap(EncodeCoap(message));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(DeepEqual(message, *decoded));
    });
  }

  void EnvelopeRoundTrips() {
    CheckProperty([] {
      const PeerEnvelope envelope = ArbitraryEnvelope();
      const Bytes bytes = EncodeEnvelope(envelope);
      RC_ASSERT(!bytes.empty());
      const auto decoded = DecodeEnvelope(bytes);
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(DeepEqual(envelope, *decoded));
    });
  }

  void MutatedDatagramIsRejectedOrRoundTrips() {
    CheckProperty([] {
      CoapMessage message;
      ArbitraryFiller().Fill(message);
      Bytes bytes = EncodeCoap(message);
      Mutate(bytes);
      const auto decoded = DecodeCoap(bytes);
      if (decoded) {
        const auto redecoded = DecodeCoap(EncodeCoap(*decoded));
        RC_ASSERT(redecoded.has_value());
        RC_ASSERT(DeepEqual(*decoded, *redecoded));
      }
    });
  }

  void MutatedEnvelopeIsRejectedOrRoundTrips() {
    CheckProperty([] {
      Bytes bytes = EncodeEnvelope(ArbitraryEnvelope());
      Mutate(bytes);
      const auto decoded = DecodeEnvelope(bytes);
      if (decoded) {
        PeerEnvelope expected = *decoded;
        expected.to.role = Role::kBalancer;
        expected.to.zone.clear();
        const auto redecoded = DecodeEnvelope(EncodeEnvelope(*decoded));
        RC_ASSERT(redecoded.has_value());
        RC_ASSERT(DeepEqual(expected, *redecoded));
      }
    });
  }

  void EnvelopeBeyondABoundIsRejected() {
    PeerEnvelope envelope;
    envelope.from.zone = std::string(kMaxNameBytes + 1, 'z');
    envelope.body = Probe{};
    CPPUNIT_ASSERT(EncodeEnvelope(envelope).empty());
    envelope.from.zone.clear();
    CPPUNIT_ASSERT(!EncodeEnvelope(envelope).empty());
    envelope.body =
        Probe{1, false, std::vector<MemberUpdate>(kMaxMemberUpdates + 1)};
    CPPUNIT_ASSERT(EncodeEnvelope(envelope).empty());
    ForwardedRequest request;
    request.message.code = CoapCode::kGet;
    request.budget = kMaxWireDuration + Duration(1);
    envelope.body = request;
    CPPUNIT_ASSERT(EncodeEnvelope(envelope).empty());
    envelope.body = ContractPush{std::vector<ContractValue>(
        5, ContractValue{"c", 1, false, std::string(kMaxContractBytes, 'x')})};
    CPPUNIT_ASSERT(EncodeEnvelope(envelope).empty());
  }

  void EnvelopeWithoutBodyIsRejected() {
    CPPUNIT_ASSERT(DecodeEnvelope(Bytes{}).error() ==
                   ResultCode::kMalformedEnvelope);
    CPPUNIT_ASSERT(!DecodeEnvelope(Bytes{0x08}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecPropertiesTest);

}  // namespace
}  // namespace cactuscross
