#ifndef CACTUSCROSS_TESTS_WIRE_AGGREGATE_H_
#define CACTUSCROSS_TESTS_WIRE_AGGREGATE_H_

// Generates arbitrary values of the aggregates that are sent between processes
// and compares them field by field. Fields that are added later are covered
// too.

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include "cactuscross/peer_message.h"
#include "src/wire/peer_codec.h"

namespace cactuscross {

// Number of fields of each aggregate. FieldsOf() does not compile if a number
// is wrong, so a new field cannot be forgotten here.
template <typename T>
inline constexpr int kFieldCount = 0;
template <>
inline constexpr int kFieldCount<Endpoint> = 2;
template <>
inline constexpr int kFieldCount<CoapBlock> = 3;
template <>
inline constexpr int kFieldCount<CoapMessage> = 17;
template <>
inline constexpr int kFieldCount<PeerAddress> = 4;
template <>
inline constexpr int kFieldCount<LoadReport> = 8;
template <>
inline constexpr int kFieldCount<SamplingCandidate> = 2;
template <>
inline constexpr int kFieldCount<ForwardedRequest> = 11;
template <>
inline constexpr int kFieldCount<ForwardedReply> = 5;
template <>
inline constexpr int kFieldCount<ContractMismatch> = 4;
template <>
inline constexpr int kFieldCount<SessionOffer> = 10;
template <>
inline constexpr int kFieldCount<SessionOfferReply> = 4;
template <>
inline constexpr int kFieldCount<LoanRequest> = 4;
template <>
inline constexpr int kFieldCount<LoanGrant> = 5;
template <>
inline constexpr int kFieldCount<LoadNotice> = 2;
template <>
inline constexpr int kFieldCount<ContractDigestEntry> = 2;
template <>
inline constexpr int kFieldCount<ContractDigest> = 9;
template <>
inline constexpr int kFieldCount<ContractPull> = 1;
template <>
inline constexpr int kFieldCount<ContractValue> = 4;
template <>
inline constexpr int kFieldCount<ContractPush> = 1;
template <>
inline constexpr int kFieldCount<MemberUpdate> = 3;
template <>
inline constexpr int kFieldCount<Probe> = 3;
template <>
inline constexpr int kFieldCount<ProbeReply> = 4;
template <>
inline constexpr int kFieldCount<IndirectProbe> = 2;
template <>
inline constexpr int kFieldCount<IndirectProbeReply> = 3;
template <>
inline constexpr int kFieldCount<PeerEnvelope> = 4;

// Returns references to all fields of `value`.
template <typename T>
auto FieldsOf(T& value) {
  constexpr int kCount = kFieldCount<std::remove_const_t<T>>;
  if constexpr (kCount == 1) {
    auto& [a] = value;
    return std::tie(a);
  } else if constexpr (kCount == 2) {
    auto& [a, b] = value;
    return std::tie(a, b);
  } else if constexpr (kCount == 3) {
    auto& [a, b, c] = value;
    return std::tie(a, b, c);
  } else if constexpr (kCount == 4) {
    auto& [a, b, c, d] = value;
    return std::tie(a, b, c, d);
  } else if constexpr (kCount == 5) {
    auto& [a, b, c, d, e] = value;
    return std::tie(a, b, c, d, e);
  } else if constexpr (kCount == 7) {
    auto& [a, b, c, d, e, f, g] = value;
    return std::tie(a, b, c, d, e, f, g);
  } else if constexpr (kCount == 8) {
    auto& [a, b, c, d, e, f, g, h] = value;
    return std::tie(a, b, c, d, e, f, g, h);
  } else if constexpr (kCount == 9) {
    auto& [a, b, c, d, e, f, g, h, i] = value;
    return std::tie(a, b, c, d, e, f, g, h, i);
  } else if constexpr (kCount == 10) {
    auto& [a, b, c, d, e, f, g, h, i, j] = value;
    return std::tie(a, b, c, d, e, f, g, h, i, j);
  } else if constexpr (kCount == 11) {
    auto& [a, b, c, d, e, f, g, h, i, j, k] = value;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k);
  } else if constexpr (kCount == 17) {
    auto& [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q] = value;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q);
  }
}

// Fills a value from RapidCheck's generators, within the bounds of the codecs.
class ArbitraryFiller {
 public:
  template <typename T>
  void Fill(T& value) {
    if constexpr (std::is_enum_v<T>) {
      this->FillEnum(value);
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = *rc::gen::arbitrary<T>();
    } else {
      this->FillFields(value);
    }
  }

  void Fill(Duration& value) {
    value = Duration(
        *rc::gen::inRange<std::int64_t>(0, kMaxWireDuration.count() + 1));
  }

  void Fill(std::string& value) {
    value = *rc::gen::container<std::string>(
        *rc::gen::inRange(0, 12), rc::gen::elementOf(std::string("abz09-/~")));
  }

  void Fill(Bytes& value) {
    value = *rc::gen::container<Bytes>(*rc::gen::inRange(1, 9),
                                       rc::gen::arbitrary<std::uint8_t>());
  }

  template <typename T>
  void Fill(std::vector<T>& values) {
    values.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (T& value : values) {
      this->Fill(value);
    }
  }

  template <typename T>
  void Fill(std::optional<T>& value) {
    if (*rc::gen::arbitrary<bool>()) {
      this->Fill(value.emplace());
    }
  }

  void Fill(CoapBlock& block) {
    block.number = *rc::gen::inRange<std::uint32_t>(0, 1U << 20U);
    block.more = *rc::gen::arbitrary<bool>();
    block.size_exponent = *rc::gen::inRange<std::uint8_t>(0, 7);
  }

  void Fill(CoapMessage& message) {
    this->FillFields(message);
    if (message.observe) {
      *message.observe &= 0xFFFFFFU;
    }
    if (IsEmpty(message)) {
      CoapMessage empty;
      empty.type = message.type;
      empty.message_id = message.message_id;
      message = empty;
    }
  }

  void Fill(SessionOffer& offer) {
    this->FillFields(offer);
    offer.observe_sequence &= 0xFFFFFFU;
  }

  void Fill(PeerMessage& message) {
    this->FillAlternative(message, *rc::gen::inRange<std::size_t>(
                                       0, std::variant_size_v<PeerMessage>));
  }

 private:
  template <typename T>
  void FillFields(T& value) {
    std::apply([this](auto&... fields) { (this->Fill(fields), ...); },
               FieldsOf(value));
  }

  template <typename Enum>
  void FillEnum(Enum& value) {
    using Number = std::underlying_type_t<Enum>;
    if constexpr (std::is_same_v<Enum, CoapType> ||
                  std::is_same_v<Enum, ForwardKind> ||
                  std::is_same_v<Enum, MemberState>) {
      value = static_cast<Enum>(*rc::gen::inRange<Number>(0, 4));
    } else if constexpr (std::is_same_v<Enum, CoapCode>) {
      value = *rc::gen::element(
          CoapCode::kEmpty, CoapCode::kGet, CoapCode::kPost, CoapCode::kContent,
          CoapCode::kUnauthorized, CoapCode::kGatewayTimeout);
    } else if constexpr (std::is_same_v<Enum, Role>) {
      value = *rc::gen::element(Role::kBalancer, Role::kAgent);
    } else {
      value = static_cast<Enum>(*rc::gen::arbitrary<Number>());
    }
  }

  template <std::size_t I = 0>
  void FillAlternative(PeerMessage& message, std::size_t index) {
    if constexpr (I < std::variant_size_v<PeerMessage>) {
      if (I == index) {
        this->Fill(message.emplace<I>());
      } else {
        this->FillAlternative<I + 1>(message, index);
      }
    }
  }
};

template <typename T>
bool DeepEqual(const T& a, const T& b);
template <typename T>
bool DeepEqual(const std::vector<T>& a, const std::vector<T>& b);
template <typename T>
bool DeepEqual(const std::optional<T>& a, const std::optional<T>& b);
template <typename... Ts>
bool DeepEqual(const std::variant<Ts...>& a, const std::variant<Ts...>& b);

inline bool DeepEqual(const std::string& a, const std::string& b) {
  return a == b;
}

inline bool DeepEqual(const Duration& a, const Duration& b) {
  return a == b;
}

template <typename Tuple, std::size_t... I>
bool AllEqual(const Tuple& a,
              const Tuple& b,
              std::index_sequence<I...> /*fields*/) {
  return (DeepEqual(std::get<I>(a), std::get<I>(b)) && ...);
}

// Returns true if all fields of `a` and `b` are equal.
template <typename T>
bool DeepEqual(const T& a, const T& b) {
  if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    return a == b;
  } else {
    return AllEqual(FieldsOf(a), FieldsOf(b),
                    std::make_index_sequence<kFieldCount<T>>());
  }
}

template <typename T>
bool DeepEqual(const std::vector<T>& a, const std::vector<T>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const T& x, const T& y) { return DeepEqual(x, y); });
}

template <typename T>
bool DeepEqual(const std::optional<T>& a, const std::optional<T>& b) {
  return a.has_value() == b.has_value() && (!a || DeepEqual(*a, *b));
}

template <typename... Ts>
bool DeepEqual(const std::variant<Ts...>& a, const std::variant<Ts...>& b) {
  return a.index() == b.index() &&
         std::visit(
             [&b](const auto& body) {
               using Body = std::decay_t<decltype(body)>;
               return DeepEqual(body, std::get<Body>(b));
             },
             a);
}

}  // namespace cactuscross

#endif  // CACTUSCROSS_TESTS_WIRE_AGGREGATE_H_
