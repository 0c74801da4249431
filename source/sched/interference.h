#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondtally::sched {

/// How much the fillers beside it raise the tail latency of one serving image.
/// The model is linear: the logarithm of the tail rises by `weight * share` for
/// each filler image, where the share is that of the VM's processors. Weights
/// are estimated by recursive least squares.
struct Sensitivity {
  /// Position of each filler image in the arrays below.
  std::map<std::string, size_t> index;
  std::vector<double> weights;
  /// Covariance of the weights, by row.
  std::vector<std::vector<double>> covariance;
};

/// By serving image. Pairs differ widely: most fillers leave most serving
/// images alone, and some triple a tail with a seventh of the VM.
using Interference = std::map<std::string, Sensitivity>;

/// Fillers of one image on a VM.
struct FillerUse {
  std::string image;
  /// Of the VM's processors.
  double share = 0;
};

/// @return rise of the log tail if the filler used the whole VM; not negative.
double WeightOf(const Interference& model, const std::string& filler,
                const std::string& serving);

/// @return rise of the log tail by all fillers on a VM.
double RiseBy(const Interference& model, const std::string& serving,
              const std::vector<FillerUse>& fillers);

/// Learns from one rise of a log tail.
/// @param noise standard deviation of `rise`.
void Learn(Interference& model, const std::string& serving, double rise,
           double noise, const std::vector<FillerUse>& fillers);

}  // namespace almondtally::sched
