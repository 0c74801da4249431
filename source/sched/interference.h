#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondtally::sched {

/// How much fillers on the same VM raise the tail latency of one serving image.
/// The model is linear: the log tail rises by `weight * share` for each filler
/// image, where `share` is its share of the VM's CPU. Weights are estimated by
/// recursive least squares.
struct Sensitivity {
  /// Position of each filler image in the arrays below.
  std::map<std::string, size_t> index;
  std::vector<double> weights;
  /// Covariance matrix of the weights, by row.
  std::vector<std::vector<double>> covariance;
};

/// Sensitivity by serving image. Pairs of images differ widely: most fillers do
/// not affect most serving images, while some triple the tail latency with a
/// seventh of the VM.
using InterferenceModel = std::map<std::string, Sensitivity>;

/// CPU use of the fillers of one image on a VM.
struct FillerUse {
  std::string image;
  /// Share of the VM's CPU.
  double share = 0;
};

/// @return the expected rise of the log tail if the filler used the whole VM;
/// never negative.
double InterferenceWeight(const InterferenceModel& model,
                          const std::string& filler,
                          const std::string& serving);

/// @return the expected rise of the log tail due to all fillers on a VM.
double ExpectedRise(const InterferenceModel& model, const std::string& serving,
                    const std::vector<FillerUse>& fillers);

/// Updates the model with one observed rise of a log tail.
/// @param noise standard deviation of `rise`.
void UpdateInterference(InterferenceModel& model, const std::string& serving,
                        double rise, double noise,
                        const std::vector<FillerUse>& fillers);

}  // namespace almondtally::sched
