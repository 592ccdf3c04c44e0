#ifndef CITRON_POLICY_SMOOTHED_MEAN_H_
#define CITRON_POLICY_SMOOTHED_MEAN_H_

namespace citron {

// Exponentially weighted mean and variance of a series of values.
class smoothed_mean {
 public:
  // `gain` is the weight of a new value, 0 to 1; the first 1 / `gain` values
  // have equal weights.
  explicit smoothed_mean(double gain) : gain_(gain) {}

  void Add(double value);

  int Samples() const { return samples_; }
  double Mean() const { return mean_; }
  double Variance() const { return variance_; }
  // Returns the number of equally weighted values whose mean is as exact.
  double EquivalentSamples() const;

 private:
  double gain_;
  int samples_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

// Returns whether the true mean of `a` is above `factor` times that of `b`, and
// not only the smoothed one: by at least `standard_errors` standard errors of
// the difference. The variance is taken to be that of the more variable series,
// as a few equal values say little about their spread.
bool IsAboveMultiple(const smoothed_mean& a, double factor,
                     const smoothed_mean& b, double standard_errors);

}  // namespace citron

#endif  // CITRON_POLICY_SMOOTHED_MEAN_H_
