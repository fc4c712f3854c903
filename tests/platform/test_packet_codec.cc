#include <cppunit/extensions/HelperMacros.h>

#include "platform/packet_codec.h"
#include "src/shell/flow/notice_packet.h"

namespace cactuscross::platform {
namespace {

// Example packets from the platform's packet documentation.
const Bytes kOpening = {0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                        0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64,
                        0x41, 0x9c, 0xbb, 0x01, 0xd5, 0xc3, 0xb2, 0xa1, 0x00,
                        0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00};
const Bytes kReset = {0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                      0x00, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6,
                      0xbb, 0x01, 0x41, 0x9c, 0x00, 0x00, 0x00, 0x00, 0x00,
                      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

constexpr FlowKey kFlow = {{0x64400007, 40001}, {0xC6120001, 443}};

constexpr std::size_t kFlagsOffset = 0;
constexpr std::size_t kLengthOffset = 26;
constexpr std::size_t kAcknowledgementOffset = 32;

// Tests the decoding and encoding of the packets of flows.
class PacketCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketCodecTest);
  CPPUNIT_TEST(OpeningIsDecoded);
  CPPUNIT_TEST(RetransmitCountIsNoAcknowledgement);
  CPPUNIT_TEST(DirectionFollowsTheSender);
  CPPUNIT_TEST(ReturnedPacketBelongsToTheClientsFlow);
  CPPUNIT_TEST(ResetIsEncoded);
  CPPUNIT_TEST(MarkIsSetAndRemovedWithoutOtherChanges);
  CPPUNIT_TEST(InvalidLengthsAreRejected);
  CPPUNIT_TEST(ShortPacketIsNotMarked);
  CPPUNIT_TEST(NoticeNeedsAPacketOfItsFlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpeningIsDecoded() {
    const auto packet = this->codec.Decode(kOpening, false);
    CPPUNIT_ASSERT(packet.has_value());
    CPPUNIT_ASSERT(kFlow == packet->flow);
    CPPUNIT_ASSERT(packet->opening && packet->IsRequestToOpen());
    CPPUNIT_ASSERT(!packet->acknowledges && !packet->closing &&
                   !packet->reset && !packet->returned);
    CPPUNIT_ASSERT_EQUAL(0x11223344U, packet->sequence);
    CPPUNIT_ASSERT_EQUAL(0U, packet->data_bytes);
    CPPUNIT_ASSERT(packet->mark.purpose == MarkPurpose::kNone);
  }

  void RetransmitCountIsNoAcknowledgement() {
    Bytes bytes = kOpening;
    bytes[kAcknowledgementOffset] = 2;
    const auto packet = this->codec.Decode(bytes, false);
    CPPUNIT_ASSERT_EQUAL(2U, packet->retransmit_count);
    CPPUNIT_ASSERT_EQUAL(0U, packet->acknowledgement);
    bytes[kFlagsOffset] = 64;  // flag ACK
    CPPUNIT_ASSERT_EQUAL(2U, this->codec.Decode(bytes, false)->acknowledgement);
  }

  void DirectionFollowsTheSender() {
    Bytes bytes = kReset;
    const auto packet = this->codec.Decode(bytes, true);
    CPPUNIT_ASSERT(packet->from_server && packet->reset);
    CPPUNIT_ASSERT(kFlow == packet->flow);
  }

  void ReturnedPacketBelongsToTheClientsFlow() {
    Bytes bytes = kOpening;
    bytes[kFlagsOffset] |= 32;  // flag BOUNCED
    const auto packet = this->codec.Decode(bytes, true);
    CPPUNIT_ASSERT(packet->returned && !packet->from_server);
    CPPUNIT_ASSERT(kFlow == packet->flow);
  }

  void ResetIsEncoded() {
    CPPUNIT_ASSERT(kReset == this->codec.EncodeReset({kFlow, 0}));
  }

  // SetMark() clears the flag BOUNCED and changes no other byte outside the
  // mark.
  void MarkIsSetAndRemovedWithoutOtherChanges() {
    Bytes bytes = kOpening;
    bytes[kFlagsOffset] |= 32;  // flag BOUNCED
    this->codec.SetMark(bytes, {MarkPurpose::kSearch, 0xA1B2C3D4, 0x0A010005});
    const auto packet = this->codec.Decode(bytes, false);
    CPPUNIT_ASSERT(packet->mark.purpose == MarkPurpose::kSearch);
    CPPUNIT_ASSERT_EQUAL(0xA1B2C3D4U, packet->mark.service_tag);
    CPPUNIT_ASSERT_EQUAL(0x0A010005U, packet->mark.balancer);
    CPPUNIT_ASSERT(!packet->returned);
    this->codec.SetMark(bytes, {});
    CPPUNIT_ASSERT(kOpening == bytes);
  }

  void InvalidLengthsAreRejected() {
    for (std::size_t size = 0; size < kOpening.size(); ++size) {
      const Bytes cut(kOpening.begin(),
                      kOpening.begin() + static_cast<std::ptrdiff_t>(size));
      CPPUNIT_ASSERT(!this->codec.Decode(cut, false).has_value());
    }
    Bytes bytes = kOpening;
    bytes.push_back(0);
    CPPUNIT_ASSERT(!this->codec.Decode(bytes, false).has_value());
    bytes[kLengthOffset] = 1;
    CPPUNIT_ASSERT(this->codec.Decode(bytes, false).has_value());
    Bytes oversize(36 + 1201, 0);
    oversize[kLengthOffset] = 0xB1;
    oversize[kLengthOffset + 1] = 0x04;
    CPPUNIT_ASSERT(!this->codec.Decode(oversize, false).has_value());
  }

  // A mark must not be written behind the end of a packet that is cut off.
  void ShortPacketIsNotMarked() {
    for (std::size_t size = 0; size < kOpening.size(); ++size) {
      const Bytes cut(size, 0xFF);
      Bytes bytes = cut;
      this->codec.SetMark(bytes, {MarkPurpose::kSearch, 7, 9});
      CPPUNIT_ASSERT(cut == bytes);
    }
  }

  // A balancer forwards the packet of a notice, so it must be one, and belong
  // to the flow that the notice names.
  void NoticeNeedsAPacketOfItsFlow() {
    FlowNotice notice;
    notice.flow = kFlow;
    CPPUNIT_ASSERT(HasValidPacket(this->codec, notice));
    notice.packet = kOpening;
    CPPUNIT_ASSERT(HasValidPacket(this->codec, notice));
    notice.flow.client.port = 1;
    CPPUNIT_ASSERT(!HasValidPacket(this->codec, notice));
    notice.flow = kFlow;
    notice.packet = {1};
    CPPUNIT_ASSERT(!HasValidPacket(this->codec, notice));
  }

 private:
  PacketCodec codec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketCodecTest);

}  // namespace
}  // namespace cactuscross::platform
