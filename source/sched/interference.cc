#include "sched/interference.h"

#include <algorithm>

namespace almondtally::sched {
namespace {

/// Weight assumed before the first measurement: a few fillers have little
/// effect.
constexpr double kInitialWeight = 1.2;
/// Initial variance of a weight. Interfering pairs were measured at weights of
/// 4 to 9, all others at 0.
constexpr double kInitialVariance = 9;
/// Added to the variance of a weight with each sample: interference varies over
/// time, and old samples must not outweigh the last half minute.
constexpr double kVarianceGrowth = 0.005;
/// Maximum number of filler images per serving image; further images keep the
/// initial weight.
constexpr size_t kMaxImages = 48;

size_t IndexOf(Sensitivity& it, const std::string& filler) {
  const auto [at, is_new] = it.index.try_emplace(filler, it.weights.size());
  if (!is_new) return at->second;
  it.weights.push_back(kInitialWeight);
  for (auto& row : it.covariance) row.push_back(0);
  it.covariance.emplace_back(it.weights.size(), 0.0);
  it.covariance.back().back() = kInitialVariance;
  return at->second;
}

/// @return the fillers' CPU shares in the order of the model's arrays.
std::vector<double> SharesOf(Sensitivity& it,
                             const std::vector<FillerUse>& fillers) {
  std::vector<double> out(it.weights.size(), 0.0);
  for (const FillerUse& filler : fillers) {
    const bool known = it.index.contains(filler.image);
    if (!known && it.weights.size() >= kMaxImages) continue;
    const size_t i = IndexOf(it, filler.image);
    out.resize(it.weights.size(), 0.0);
    out[i] += filler.share;
  }
  return out;
}

}  // namespace

double InterferenceWeight(const InterferenceModel& model,
                          const std::string& filler,
                          const std::string& serving) {
  const auto it = model.find(serving);
  if (it == model.end()) return kInitialWeight;
  const auto at = it->second.index.find(filler);
  if (at == it->second.index.end()) return kInitialWeight;
  return std::max(0.0, it->second.weights[at->second]);
}

double ExpectedRise(const InterferenceModel& model, const std::string& serving,
                    const std::vector<FillerUse>& fillers) {
  double sum = 0;
  for (const FillerUse& it : fillers) {
    sum += InterferenceWeight(model, it.image, serving) * it.share;
  }
  return sum;
}

void UpdateInterference(InterferenceModel& model, const std::string& serving,
                        double rise, double noise,
                        const std::vector<FillerUse>& fillers) {
  Sensitivity& it = model[serving];
  const auto shares = SharesOf(it, fillers);
  const size_t n = shares.size();
  auto& covariance = it.covariance;
  // Kalman filter update for weights that follow a slow random walk.
  std::vector<double> gain(n, 0.0);
  double variance = noise * noise;
  double expected = 0;
  for (size_t i = 0; i < n; ++i) {
    for (size_t k = 0; k < n; ++k) gain[i] += covariance[i][k] * shares[k];
    variance += gain[i] * shares[i];
    expected += it.weights[i] * shares[i];
  }
  const double error = rise - expected;
  for (size_t i = 0; i < n; ++i) {
    it.weights[i] += gain[i] / variance * error;
    for (size_t k = 0; k < n; ++k) {
      covariance[i][k] -= gain[i] * gain[k] / variance;
    }
    if (shares[i] > 0) {
      covariance[i][i] =
          std::min(kInitialVariance, covariance[i][i] + kVarianceGrowth);
    }
  }
}

}  // namespace almondtally::sched
