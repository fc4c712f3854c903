#include "src/wire/coap_codec.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace cactuscross {
namespace {

// Sizes and limits of RFC 7252, of RFC 7641 (Observe), RFC 7959 (Block1 and
// Block2) and RFC 9175 (Echo and Request-Tag).
constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kMaxTokenBytes = 8;
constexpr std::size_t kMaxOptionTextBytes = 255;
constexpr std::size_t kMaxEchoBytes = 40;
constexpr std::size_t kMaxRequestTagBytes = 8;
constexpr std::size_t kMaxEtagBytes = 8;
constexpr std::uint32_t kMaxObserve = 0xFFFFFF;
constexpr std::uint32_t kMaxBlockNumber = 0xFFFFF;
constexpr std::uint8_t kMaxBlockSizeExponent = 6;
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kPayloadMarker = 0xFF;
// Bytes reserved for header and options; enough for most messages.
constexpr std::size_t kReservedBytes = 128;

struct PduDeleter {
  void operator()(coap_pdu_t* pdu) const { coap_delete_pdu(pdu); }
};
using PduPointer = std::unique_ptr<coap_pdu_t, PduDeleter>;

// Suppresses the lines that libcoap itself logs about malformed input.
void SilenceLibrary() {
  static const bool done = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  static_cast<void>(done);
}

// How often an option may appear in one message.
enum class Repeat : std::uint8_t { kOnce, kMany };

// Reads the value of one option into a message. Returns false if the value is
// invalid.
using ReadOption = bool (*)(ByteView value, CoapMessage& message);

// One option that this codec knows.
struct OptionRow {
  std::uint16_t number;
  std::size_t min_bytes;
  std::size_t max_bytes;
  Repeat repeat;
  ReadOption read;
};

std::uint32_t ToUnsigned(ByteView value) {
  std::uint32_t number = 0;
  for (const std::uint8_t byte : value) {
    number = (number << 8U) | byte;
  }
  return number;
}

Bytes ToBytes(ByteView value) {
  return Bytes(value.begin(), value.end());
}

// Appends `value` with '%' and `separator` escaped.
void AppendEscaped(ByteView value, char separator, std::string& text) {
  for (const std::uint8_t byte : value) {
    if (byte == '%') {
      text += "%25";
    } else if (byte == static_cast<std::uint8_t>(separator)) {
      text += separator == '/' ? "%2F" : "%26";
    } else {
      text += static_cast<char>(byte);
    }
  }
}

// Reverses AppendEscaped() for one part.
std::string Unescape(std::string_view part, char separator) {
  const std::string_view escaped = separator == '/' ? "%2F" : "%26";
  std::string text;
  while (!part.empty()) {
    const std::string_view next = part.substr(0, 3);
    if (next == "%25" || next == escaped) {
      text += next == "%25" ? '%' : separator;
      part.remove_prefix(next.size());
    } else {
      text += part.front();
      part.remove_prefix(1);
    }
  }
  return text;
}

// Reads a Block1 or Block2 value: block number, more flag (bit 3) and size
// exponent (bits 0 to 2) (RFC 7959, section 2.2).
bool ReadBlock(ByteView value, std::optional<CoapBlock>& block) {
  const std::uint32_t number = ToUnsigned(value);
  const auto exponent = static_cast<std::uint8_t>(number & 7U);
  if (exponent > kMaxBlockSizeExponent) {
    return false;
  }
  block = CoapBlock{number >> 4U, (number & 8U) != 0, exponent};
  return true;
}

bool Ignore(ByteView /*value*/, CoapMessage& /*message*/) {
  return true;
}

bool ReadEtag(ByteView value, CoapMessage& message) {
  // A request may carry several ETag options; only the first one is kept.
  if (!message.etag) {
    message.etag = ToBytes(value);
  }
  return true;
}

bool ReadObserve(ByteView value, CoapMessage& message) {
  message.observe = ToUnsigned(value);
  return true;
}

bool ReadContentFormat(ByteView value, CoapMessage& message) {
  message.content_format = static_cast<std::uint16_t>(ToUnsigned(value));
  return true;
}

bool ReadMaxAge(ByteView value, CoapMessage& message) {
  message.max_age = ToUnsigned(value);
  return true;
}

bool ReadBlock2(ByteView value, CoapMessage& message) {
  return ReadBlock(value, message.block2);
}

bool ReadBlock1(ByteView value, CoapMessage& message) {
  return ReadBlock(value, message.block1);
}

bool ReadSize2(ByteView value, CoapMessage& message) {
  message.size2 = ToUnsigned(value);
  return true;
}

bool ReadSize1(ByteView value, CoapMessage& message) {
  message.size1 = ToUnsigned(value);
  return true;
}

bool ReadEcho(ByteView value, CoapMessage& message) {
  message.echo = ToBytes(value);
  return true;
}

bool ReadRequestTag(ByteView value, CoapMessage& message) {
  if (!message.request_tag) {
    message.request_tag = ToBytes(value);
  }
  return true;
}

// Uri-Path and Uri-Query are ignored here; ReadOptions() joins their parts.
constexpr std::array<OptionRow, 16> kOptions{{
    {COAP_OPTION_URI_HOST, 1, kMaxOptionTextBytes, Repeat::kOnce, Ignore},
    {COAP_OPTION_ETAG, 1, kMaxEtagBytes, Repeat::kMany, ReadEtag},
    {COAP_OPTION_OBSERVE, 0, 3, Repeat::kOnce, ReadObserve},
    {COAP_OPTION_URI_PORT, 0, 2, Repeat::kOnce, Ignore},
    {COAP_OPTION_URI_PATH, 0, kMaxOptionTextBytes, Repeat::kMany, Ignore},
    {COAP_OPTION_CONTENT_FORMAT, 0, 2, Repeat::kOnce, ReadContentFormat},
    {COAP_OPTION_MAXAGE, 0, 4, Repeat::kOnce, ReadMaxAge},
    {COAP_OPTION_URI_QUERY, 1, kMaxOptionTextBytes, Repeat::kMany, Ignore},
    {COAP_OPTION_ACCEPT, 0, 2, Repeat::kOnce, Ignore},
    {COAP_OPTION_BLOCK2, 0, 3, Repeat::kOnce, ReadBlock2},
    {COAP_OPTION_BLOCK1, 0, 3, Repeat::kOnce, ReadBlock1},
    {COAP_OPTION_SIZE2, 0, 4, Repeat::kOnce, ReadSize2},
    {COAP_OPTION_SIZE1, 0, 4, Repeat::kOnce, ReadSize1},
    {COAP_OPTION_ECHO, 1, kMaxEchoBytes, Repeat::kOnce, ReadEcho},
    {COAP_OPTION_NORESPONSE, 0, 1, Repeat::kOnce, Ignore},
    {COAP_OPTION_RTAG, 0, kMaxRequestTagBytes, Repeat::kMany, ReadRequestTag},
}};

const OptionRow* FindOption(std::uint16_t number) {
  const auto* row =
      std::find_if(kOptions.begin(), kOptions.end(),
                   [&](const OptionRow& r) { return r.number == number; });
  return row == kOptions.end() ? nullptr : row;
}

// Joins the parts of Uri-Path or Uri-Query.
struct JoinedText {
  std::string text;
  bool has_parts = false;

  void Append(ByteView part, char separator) {
    if (this->has_parts) {
      this->text += separator;
    }
    this->has_parts = true;
    AppendEscaped(part, separator, this->text);
  }
};

// Options with odd numbers are critical (RFC 7252, section 5.4.6).
bool IsCritical(std::uint16_t number) {
  return (number & 1U) != 0;
}

// Reads all options of `pdu`. Returns kOk, kUnsupportedOption or
// kMalformedDatagram.
ResultCode ReadOptions(const coap_pdu_t& pdu, CoapMessage& message) {
  JoinedText path;
  JoinedText query;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(&pdu, &iterator, COAP_OPT_ALL);
  std::uint16_t previous = 0;
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    const std::uint16_t number = iterator.number;
    const ByteView value(coap_opt_value(option), coap_opt_length(option));
    const OptionRow* row = FindOption(number);
    const bool repeated = previous == number;
    previous = number;
    const bool is_usable = row != nullptr && value.size() >= row->min_bytes &&
                           value.size() <= row->max_bytes &&
                           (!repeated || row->repeat == Repeat::kMany);
    if (!is_usable) {
      if (IsCritical(number)) {
        return ResultCode::kUnsupportedOption;
      }
      continue;
    }
    if (number == COAP_OPTION_URI_PATH) {
      path.Append(value, '/');
    } else if (number == COAP_OPTION_URI_QUERY) {
      query.Append(value, '&');
    } else if (!row->read(value, message)) {
      return ResultCode::kMalformedDatagram;
    }
  }
  message.uri_path = std::move(path.text);
  message.uri_query = std::move(query.text);
  return ResultCode::kOk;
}

// Code classes 1, 6 and 7 are reserved (RFC 7252, sections 4.2 and 12.1).
bool IsKnownClass(std::uint8_t code) {
  const unsigned code_class = code >> 5U;
  return code_class == 0 || (code_class >= 2 && code_class <= 5);
}

// Appends options to a datagram in ascending order of their numbers.
class OptionWriter {
 public:
  explicit OptionWriter(Bytes& datagram) : datagram(datagram) {}

  void AddBytes(std::uint16_t number, ByteView value) {
    const auto delta = static_cast<std::uint16_t>(number - this->last_number);
    const std::size_t size = coap_opt_encode_size(delta, value.size());
    const std::size_t start = this->datagram.size();
    this->datagram.resize(start + size);
    this->ok =
        this->ok && coap_opt_encode(this->datagram.data() + start, size, delta,
                                    value.data(), value.size()) == size;
    this->last_number = number;
  }

  void AddUnsigned(std::uint16_t number, std::uint32_t value) {
    std::array<std::uint8_t, sizeof(value)> buffer{};
    const unsigned size =
        coap_encode_var_safe(buffer.data(), buffer.size(), value);
    this->AddBytes(number, ByteView(buffer.data(), size));
  }

  void AddBlock(std::uint16_t number, const CoapBlock& block) {
    this->ok = this->ok && block.number <= kMaxBlockNumber &&
               block.size_exponent <= kMaxBlockSizeExponent;
    this->AddUnsigned(number, (block.number << 4U) | (block.more ? 8U : 0U) |
                                  block.size_exponent);
  }

  // Adds one option for each part of `text` between separators. Empty query
  // arguments are omitted because libcoap does not parse them.
  void AddParts(std::uint16_t number, std::string_view text, char separator) {
    bool last = text.empty();
    while (!last) {
      const std::size_t end = text.find(separator);
      const std::string part = Unescape(text.substr(0, end), separator);
      this->AddText(number, part);
      last = end == std::string_view::npos;
      text.remove_prefix(last ? text.size() : end + 1);
    }
  }

  void AddText(std::uint16_t number, std::string_view text) {
    if (text.empty() && number == COAP_OPTION_URI_QUERY) {
      return;
    }
    this->ok = this->ok && text.size() <= kMaxOptionTextBytes;
    this->AddBytes(number,
                   ByteView(reinterpret_cast<const std::uint8_t*>(text.data()),
                            text.size()));
  }

  void AddOptionalBytes(std::uint16_t number,
                        const std::optional<Bytes>& value,
                        std::size_t max_bytes) {
    if (value) {
      this->ok = this->ok && value->size() <= max_bytes;
      this->AddBytes(number, *value);
    }
  }

  template <typename Number>
  void AddOptionalUnsigned(std::uint16_t number,
                           const std::optional<Number>& value,
                           std::uint32_t max) {
    if (value) {
      this->ok = this->ok && *value <= max;
      this->AddUnsigned(number, *value);
    }
  }

  void AddOptionalBlock(std::uint16_t number,
                        const std::optional<CoapBlock>& block) {
    if (block) {
      this->AddBlock(number, *block);
    }
  }

  bool Ok() const { return this->ok; }

 private:
  Bytes& datagram;
  std::uint16_t last_number = 0;
  bool ok = true;
};

bool WriteOptions(const CoapMessage& message, Bytes& datagram) {
  constexpr std::uint32_t kNoLimit = std::numeric_limits<std::uint32_t>::max();
  OptionWriter writer(datagram);
  writer.AddOptionalBytes(COAP_OPTION_ETAG, message.etag, kMaxEtagBytes);
  writer.AddOptionalUnsigned(COAP_OPTION_OBSERVE, message.observe, kMaxObserve);
  writer.AddParts(COAP_OPTION_URI_PATH, message.uri_path, '/');
  writer.AddOptionalUnsigned(COAP_OPTION_CONTENT_FORMAT, message.content_format,
                             kNoLimit);
  writer.AddOptionalUnsigned(COAP_OPTION_MAXAGE, message.max_age, kNoLimit);
  writer.AddParts(COAP_OPTION_URI_QUERY, message.uri_query, '&');
  writer.AddOptionalBlock(COAP_OPTION_BLOCK2, message.block2);
  writer.AddOptionalBlock(COAP_OPTION_BLOCK1, message.block1);
  writer.AddOptionalUnsigned(COAP_OPTION_SIZE2, message.size2, kNoLimit);
  writer.AddOptionalUnsigned(COAP_OPTION_SIZE1, message.size1, kNoLimit);
  writer.AddOptionalBytes(COAP_OPTION_ECHO, message.echo, kMaxEchoBytes);
  writer.AddOptionalBytes(COAP_OPTION_RTAG, message.request_tag,
                          kMaxRequestTagBytes);
  return writer.Ok();
}

}  // namespace

std::optional<CoapMessage> DecodeCoapHeader(ByteView datagram) {
  if (datagram.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const std::size_t token_bytes = datagram[0] & 0x0FU;
  if (datagram[0] >> 6U != kVersion || token_bytes > kMaxTokenBytes ||
      datagram.size() < kHeaderBytes + token_bytes) {
    return std::nullopt;
  }
  CoapMessage message;
  message.type = static_cast<CoapType>((datagram[0] >> 4U) & 3U);
  message.code = static_cast<CoapCode>(datagram[1]);
  message.message_id =
      static_cast<std::uint16_t>((datagram[2] << 8U) | datagram[3]);
  message.token = ToBytes(datagram.subspan(kHeaderBytes, token_bytes));
  return message;
}

tl::expected<CoapMessage, ResultCode> DecodeCoap(ByteView datagram) {
  SilenceLibrary();
  const tl::unexpected<ResultCode> malformed(ResultCode::kMalformedDatagram);
  if (datagram.size() > kMaxDatagramBytes) {
    return malformed;
  }
  std::optional<CoapMessage> message = DecodeCoapHeader(datagram);
  if (!message || !IsKnownClass(static_cast<std::uint8_t>(message->code))) {
    return malformed;
  }
  if (IsEmpty(*message)) {
    // An empty message consists of the header only (RFC 7252, section 4.1).
    if (datagram.size() != kHeaderBytes) {
      return malformed;
    }
    return *std::move(message);
  }
  const PduPointer pdu(
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
  if (pdu == nullptr || coap_pdu_parse(COAP_PROTO_UDP, datagram.data(),
                                       datagram.size(), pdu.get()) == 0) {
    return malformed;
  }
  const ResultCode code = ReadOptions(*pdu, *message);
  if (code != ResultCode::kOk) {
    return tl::unexpected<ResultCode>(code);
  }
  std::size_t size = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(pdu.get(), &size, &data) != 0) {
    message->payload.assign(data, data + size);
  }
  return *std::move(message);
}

Bytes EncodeCoap(const CoapMessage& message) {
  if (message.token.size() > kMaxTokenBytes) {
    return {};
  }
  Bytes datagram;
  datagram.reserve(kReservedBytes + message.payload.size());
  datagram.push_back(static_cast<std::uint8_t>(
      (kVersion << 6U) | (static_cast<unsigned>(message.type) << 4U) |
      message.token.size()));
  datagram.push_back(static_cast<std::uint8_t>(message.code));
  datagram.push_back(static_cast<std::uint8_t>(message.message_id >> 8U));
  datagram.push_back(static_cast<std::uint8_t>(message.message_id & 0xFFU));
  datagram.insert(datagram.end(), message.token.begin(), message.token.end());
  if (!WriteOptions(message, datagram)) {
    return {};
  }
  if (!message.payload.empty()) {
    datagram.push_back(kPayloadMarker);
    datagram.insert(datagram.end(), message.payload.begin(),
                    message.payload.end());
  }
  return datagram.size() <= kMaxDatagramBytes ? datagram : Bytes{};
}

}  // namespace cactuscross
