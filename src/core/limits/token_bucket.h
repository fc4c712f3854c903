#ifndef CACTUSCROSS_SRC_CORE_LIMITS_TOKEN_BUCKET_H_
#define CACTUSCROSS_SRC_CORE_LIMITS_TOKEN_BUCKET_H_

// A token bucket rate limiter. The caller passes the current time.

#include <algorithm>

#include "cactuscross/types.h"

namespace cactuscross {

class TokenBucket {
 public:
  // Sets the rate (tokens per second) and the capacity (tokens). The first call
  // fills the bucket.
  void Configure(double new_rate, double new_burst) {
    if (!this->configured) {
      this->tokens = new_burst;
      this->configured = true;
    }
    this->rate = new_rate;
    this->burst = new_burst;
    this->tokens = std::min(this->tokens, new_burst);
  }

  // Takes `amount` tokens. Returns false if there are fewer.
  bool Take(TimePoint now, double amount) {
    this->Refill(now);
    if (this->tokens < amount) {
      return false;
    }
    this->tokens -= amount;
    return true;
  }

  // Adds tokens, up to the capacity.
  void Put(double amount) {
    this->tokens = std::min(this->burst, this->tokens + amount);
  }

  double Level(TimePoint now) {
    this->Refill(now);
    return this->tokens;
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> passed = now - this->last;
    if (passed.count() > 0) {
      this->Put(passed.count() * this->rate);
      this->last = now;
    }
  }

  double rate = 0;
  double burst = 0;
  double tokens = 0;
  TimePoint last;  // time of the last refill
  bool configured = false;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_CORE_LIMITS_TOKEN_BUCKET_H_
