#include "sched/interference.h"

#include <algorithm>
#include <cmath>

namespace almondtally::sched {
namespace {

/// Step of the normalized least mean squares update. Half an hour would allow
/// for less, but images change within minutes and measures are rough.
constexpr double kStep = 0.35;
/// How fast the base follows measures with and without fillers beside.
constexpr double kBaseStep = 0.1;
constexpr double kBaseStepBeside = 0.02;
/// Before the first measure: half of the target.
constexpr double kFirstBase = -0.7;
/// Before the first measure of a filler: a little harmful.
constexpr double kFirstSlope = 0.03;
/// A processor of the worst filler triples the tail.
constexpr double kMostSlope = 1.0;
/// Less use than this teaches nothing about a filler.
constexpr double kLeastProcessors = 0.2;
/// Weight at which a pair's own slope counts as much as its filler's.
constexpr double kPriorWeight = 8;

double Blend(const Interference::Slope* own, double prior) {
  if (own == nullptr) return prior;
  const double sum = own->weight + kPriorWeight;
  return (own->value * own->weight + prior * kPriorWeight) / sum;
}

void Update(Interference::Slope& slope, double step, double processors) {
  slope.value = std::clamp(slope.value + step, 0.0, kMostSlope);
  slope.weight += processors;
}

}  // namespace

double BaseOf(const Interference& model, const std::string& serving) {
  const auto it = model.base.find(serving);
  return it == model.base.end() ? kFirstBase : it->second;
}

double SlopeOf(const Interference& model, const std::string& filler,
               const std::string& serving) {
  const auto any = model.fillers.find(filler);
  const double prior =
      Blend(any == model.fillers.end() ? nullptr : &any->second, kFirstSlope);
  const auto pair = model.pairs.find({filler, serving});
  return Blend(pair == model.pairs.end() ? nullptr : &pair->second, prior);
}

void Learn(Interference& model, const std::string& serving, double share,
           const std::vector<FillerUse>& fillers) {
  double predicted = BaseOf(model, serving);
  double squares = 1;
  double processors = 0;
  for (const FillerUse& it : fillers) {
    predicted += SlopeOf(model, it.image, serving) * it.processors;
    squares += it.processors * it.processors;
    processors += it.processors;
  }
  const double error = std::log(share) - predicted;
  double& base =
      model.base.try_emplace(serving, BaseOf(model, serving)).first->second;
  if (processors < kLeastProcessors) {
    base += kBaseStep * error;
    return;
  }
  base += kBaseStepBeside * error;
  for (const FillerUse& it : fillers) {
    const double step = kStep * error * it.processors / squares;
    const double now = SlopeOf(model, it.image, serving);
    auto& pair =
        model.pairs
            .try_emplace({it.image, serving}, Interference::Slope{now, 0})
            .first->second;
    auto& any = model.fillers.try_emplace(it.image, Interference::Slope{now, 0})
                    .first->second;
    Update(pair, step, it.processors);
    Update(any, step, it.processors);
  }
}

}  // namespace almondtally::sched
