#ifndef CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_RANDOM_H_
#define CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_RANDOM_H_

// The random generator of one control plane. Equal seeds give equal sequences
// on every platform.

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "cactuscross/types.h"

namespace cactuscross {

class ControlRandom {
 public:
  explicit ControlRandom(std::uint64_t seed) : generator(seed) {}

  // Returns a number from 0 to `bound` - 1; `bound` is at least 1.
  std::size_t Below(std::size_t bound) {
    return boost::random::uniform_int_distribution<std::size_t>(
        0, bound - 1)(this->generator);
  }

  // Returns a duration from 0 to `max_duration`.
  Duration UpTo(Duration max_duration) {
    return Duration(boost::random::uniform_int_distribution<Duration::rep>(
        0, max_duration.count())(this->generator));
  }

  // Returns a duration from half to one and a half times `mean`.
  Duration Jittered(Duration mean) { return mean / 2 + this->UpTo(mean); }

  std::uint64_t Number() { return this->generator(); }

  // Moves `count` random elements to the front and drops the others.
  template <typename T>
  void Sample(std::vector<T>& items, std::size_t count) {
    const std::size_t kept = count < items.size() ? count : items.size();
    for (std::size_t i = 0; i < kept; ++i) {
      std::swap(items[i], items[i + this->Below(items.size() - i)]);
    }
    items.resize(kept);
  }

 private:
  boost::random::mt19937_64 generator;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_CONTROL_CONTROL_RANDOM_H_
