#ifndef CITRON_POLICY_RETRY_BUDGET_H_
#define CITRON_POLICY_RETRY_BUDGET_H_

namespace citron {

// Limits retries to a fraction of the traffic.
class retry_budget {
 public:
  // Allows `share` retries for each request. Starts with `max_saved` saved
  // retries and saves up at most that many.
  explicit retry_budget(double share, double max_saved = 10);

  void OnRequest();
  bool TryTake();

 private:
  double share_;
  double max_saved_;
  double tokens_;
};

}  // namespace citron

#endif  // CITRON_POLICY_RETRY_BUDGET_H_
