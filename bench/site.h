#ifndef CACTUSCROSS_BENCH_SITE_H_
#define CACTUSCROSS_BENCH_SITE_H_

// The sites that the policy benchmark simulates, in the sizes that the users
// run today.

#include <cstdint>
#include <string_view>

#include <gsl/span>

#include "cactuscross/types.h"

namespace cactuscross::bench {

// Weights of the parts of a site's penalty; they add up to 1.
struct ScoreWeights {
  double broken_flows = 0;  // flows: requests and sessions
  double imbalance = 0;
};

// One of the two services of a site. The requests to the first service are
// split into POST and GET by `post_share`; those to the second one are GETs of
// a body of several blocks.
struct SiteService {
  std::string_view name;
  std::uint32_t servers = 0;
  Duration min_service_time{0};
  Duration mean_additional_time{0};  // exponentially distributed
  double post_share = 0;             // fraction of the requests
  bool has_sessions = false;
};

struct Site {
  std::string_view customer;
  std::uint32_t zones = 0;
  std::uint32_t slots = 0;        // per server
  std::uint32_t connections = 0;  // per server
  Duration one_way_delay{0};
  SiteService services[2];  // the main service and the one with GETs only
  ScoreWeights weights;
};

gsl::span<const Site> Sites();

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_SITE_H_
