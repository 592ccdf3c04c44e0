#ifndef CITRON_POLICY_MEMORY_BUDGET_H_
#define CITRON_POLICY_MEMORY_BUDGET_H_

#include <cstddef>

namespace citron {

struct memory_budget_options {
  std::size_t limit_bytes = 0;  // For all requests together; 0: no limit.
  // Fraction of the limit up to which a request may hold as much as it likes.
  double free_fraction = 0.5;
  // What a single request may hold when the limit is reached.
  std::size_t least_allowance_bytes = std::size_t{16} << 10;
};

// Limits the bytes that a VM holds for its requests: bodies, answers and what a
// slow peer has not taken. The allowance of one request shrinks as the total
// grows, so that the largest holders give way first. Load pattern: many large
// bodies at once, and callers and upstreams that read slowly.
class memory_budget {
 public:
  // The bytes of one request. The budget must outlive it.
  class account {
   public:
    explicit account(memory_budget& budget) : budget_(budget) {}
    ~account() { Set(0); }
    account(const account&) = delete;
    account& operator=(const account&) = delete;
    // Sets the bytes that the request holds now.
    void Set(std::size_t bytes);
    std::size_t Bytes() const { return bytes_; }

   private:
    memory_budget& budget_;
    std::size_t bytes_ = 0;
  };

  explicit memory_budget(const memory_budget_options& options);

  // Returns the bytes that one request may hold now, at most `usual_bytes`.
  std::size_t Allowance(std::size_t usual_bytes) const;
  // Returns whether a request with a body of that size may begin.
  bool Admits(std::size_t body_bytes) const;
  std::size_t Held() const { return held_; }
  std::size_t Peak() const { return peak_; }

 private:
  memory_budget_options options_;
  std::size_t held_ = 0;
  std::size_t peak_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_MEMORY_BUDGET_H_
