#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace almondtally::sched {

/// How fillers disturb tasks that serve users, learnt from measures. The model
/// is linear in the logarithm of a tail latency over its target:
/// `base(serving image) + sum of slope(filler, serving) * processors`.
struct Interference {
  struct Slope {
    double value = 0;
    /// Processor-weighted number of samples.
    double weight = 0;
  };
  /// Log share without fillers, by serving image.
  std::map<std::string, double> base;
  /// By filler image and serving image.
  std::map<std::pair<std::string, std::string>, Slope> pairs;
  /// By filler image alone, for pairs not seen yet.
  std::map<std::string, Slope> fillers;
};

/// Processors that fillers of one image use.
struct FillerUse {
  std::string image;
  double processors = 0;
};

/// Learns from one measure of a serving task.
/// @param share its tail latency as a share of its target; positive.
void Learn(Interference& model, const std::string& serving, double share,
           const std::vector<FillerUse>& fillers);

/// @return log increase of the tail for each processor that the filler uses.
double SlopeOf(const Interference& model, const std::string& filler,
               const std::string& serving);

/// @return log share of a serving task's target without fillers.
double BaseOf(const Interference& model, const std::string& serving);

}  // namespace almondtally::sched
