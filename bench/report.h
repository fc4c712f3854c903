#ifndef CACTUSCROSS_BENCH_REPORT_H_
#define CACTUSCROSS_BENCH_REPORT_H_

// Table, scores, targets, CSV and plot of the bench.

#include <ostream>
#include <vector>

#include "bench/run_metrics.h"
#include "bench/site.h"

namespace cactuscross::bench {

void PrintTable(const std::vector<RunMetrics>& results, std::ostream& out);

// Prints for each site and policy the mean penalty over its cases.
void PrintScores(const std::vector<RunMetrics>& results, std::ostream& out);

// Prints each target of `policy` with figure, bound and whether it was met.
void PrintTargets(const std::vector<RunMetrics>& results,
                  const std::string& policy,
                  std::ostream& out);

void WriteCsv(const std::vector<RunMetrics>& results, std::ostream& out);

// Writes a gnuplot script that draws `bench.csv` of its own folder.
void WritePlotScript(std::ostream& out);

}  // namespace cactuscross::bench

#endif  // CACTUSCROSS_BENCH_REPORT_H_
