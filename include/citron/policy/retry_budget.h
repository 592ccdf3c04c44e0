#ifndef CITRON_POLICY_RETRY_BUDGET_H_
#define CITRON_POLICY_RETRY_BUDGET_H_

namespace citron {

// Holds retries to a part of the traffic.
class retry_budget {
 public:
  // `share` retries for each request; at most `kept` retries are saved up.
  explicit retry_budget(double share, double kept = 10);

  void OnRequest();
  bool TryTake();

 private:
  double share_;
  double kept_;
  double tokens_;
};

}  // namespace citron

#endif  // CITRON_POLICY_RETRY_BUDGET_H_
