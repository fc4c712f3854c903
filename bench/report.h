#ifndef CACTUSCROSS_BENCH_REPORT_H_
#define CACTUSCROSS_BENCH_REPORT_H_

// Output of the policy benchmark: table, penalties, targets, CSV and plot
// script.

#include <ostream>
#include <vector>

#include "bench/run_metrics.h"
#include "bench/site.h"

namespace cactuscross::bench {

void PrintTable(const std::vector<RunMetrics>& results, std::ostream& out);

// Prints the mean penalty over the cases for each site and policy.
void PrintScores(const std::vector<RunMetrics>& results, std::ostream& out);

// Prints for each target the value that `policy` reached, its bound, and
// whether it was met. Targets whose cases weren't run are left out.
void PrintTargets(const std::vector<RunMetrics>& results,
                  const std::string& policy,
                  std::ostream& out);

void WriteCsv(const std::vector<RunMetrics>& results, std::ostream& out);

// Writes a gnuplot script that plots `bench.csv` in the working directory.
void WritePlotScript(std::ostream& out);

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_REPORT_H_
