#include "citron/protocol/loan_book.h"

#include <algorithm>
#include <cmath>

#include "citron/base/digest.h"

namespace citron {

namespace {

// Lower ids belong to the shares that the admission sets itself.
constexpr std::uint64_t kFirstLoanPartId = 16;

// Standard deviations above the mean of the smoothed demand that a share should
// carry. The tokens in the bucket carry more for a while; a larger share at all
// times would leave no entry with anything to lend.
constexpr double kDemandMarginDeviations = 1.5;

// Standard deviations that random arrivals exceed once in a hundred ticks;
// beyond them the demand has changed.
constexpr double kDemandChangeDeviations = 2.5;

// Expected arrivals that must be missing before the demand counts as gone: by
// chance this many are missing once in four hundred. The demand is assumed to
// be at least kMinDemandPerSecond, so that after a single request the capacity
// for the next one stays for six seconds.
constexpr double kMissedArrivalsForNoDemand = 6;
constexpr double kMinDemandPerSecond = 1;  // Requests per second.

// A bucket requests tokens when it has fewer than for this time at the present
// demand, or fewer than kLowTokens: they should last until the reply of a
// lender in another region.
constexpr double kLowTokenSeconds = 0.3;
// The time at the present demand for which tokens are requested, or kept here
// when others request them.
constexpr double kTargetTokenSeconds = 1.0;
constexpr double kLowTokens = 1.5;
// Fewer missing tokens are not requested; a grant of fewer counts as refused
// unless it raises the share.
constexpr double kMinLoanTokens = 0.25;

// Doublings of the pause after consecutive refusals. With five, an overload
// would cost half as many messages, but when demand of 0.9 of a contract's rate
// moves, 12% of it would be refused in the following second (0.7% with two).
constexpr int kMaxBackoffDoublings = 2;

// Doublings at a home, whose missing shares mostly can't be borrowed: the
// floors of dead VMs and the shares of VMs that are no peers. Requesting them
// five times a second would cost more messages than all tokens that the home
// grants.
constexpr int kMaxBackoffDoublingsAtHome = 6;
// A home borrows shares only when it lacks more than this.
constexpr std::int64_t kMinHomeShortagePpb = kWholePpb / 20;

// A home keeps its loans this long after the last request, so that a request a
// few seconds after another finds a token at once; new loans would take one
// round trip more than the request may wait.
constexpr duration kHomeIdleRetention = std::chrono::seconds(30);

// The least capacity that a share should have to admit a request after a pause;
// a small workspace's share of a large fleet is often less than one token.
constexpr double kMinCapacityTokens = 2.0;

// Loans are returned when the share exceeds the wanted one by this factor;
// between the two nothing moves, so that noise causes no messages.
constexpr double kReturnThreshold = 1.3;

// The shortest time between two updates of the demand, as refusals may come by
// the thousand.
constexpr duration kMinUpdateInterval = std::chrono::milliseconds(10);

// A smaller share isn't worth a message.
constexpr std::int64_t kMinLoanPpb = kWholePpb / 10'000;

// The fraction of a loan's time after which it is renewed.
constexpr double kRenewAfterFraction = 0.5;

// Requests exceed the missing share by this factor, as some lenders have
// nothing to spare.
constexpr double kOverRequestFactor = 1.5;

// A longer loan, from a hostile request, would freeze the lender's share.
constexpr std::int64_t kMaxLoanMs = 60'000;

// Records are kept far longer than any message takes.
constexpr duration kRecordRetention = std::chrono::seconds(30);
constexpr duration kCleanupInterval = std::chrono::seconds(5);

std::int64_t ToPpb(double fraction) {
  return static_cast<std::int64_t>(std::clamp(fraction, 0.0, 1.0) *
                                   static_cast<double>(kWholePpb));
}

void Smooth(double& average, double value, double elapsed) {
  const double kept = std::exp(-elapsed);
  average = average * kept + value * (1 - kept);
}

std::uint64_t RankOf(const workspace_id& workspace, const entry_ref& entry) {
  return HashBytes(
      entry.vm.Str(),
      HashBytes(workspace.Str(), static_cast<std::uint64_t>(entry.loop)));
}

// Returns whether the tokens may run out before a loan arrives.
bool IsRunningOut(const token_bucket& bucket, std::int64_t missing_ppb) {
  const double drain_per_s = bucket.ContractRate() *
                             static_cast<double>(missing_ppb) /
                             static_cast<double>(kWholePpb);
  return bucket.Capacity() < kMinCapacityTokens ||
         bucket.Tokens() <
             std::max(kLowTokens, drain_per_s * kTargetTokenSeconds);
}

std::int64_t ToWholeMs(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace

loan_book::loan_book(entry_ref self, admission& limits,
                     const loan_settings& settings, std::uint64_t seed)
    : self_(std::move(self)),
      limits_(limits),
      settings_(settings),
      random_(seed),
      next_part_id_(kFirstLoanPartId) {}

void loan_book::SetPeers(std::vector<entry_ref> peers) {
  peers_ = std::move(peers);
}

loan_actions loan_book::OnTimer(monotonic_time now) {
  loan_actions actions;
  DropOldRecords(now);
  if (released_) return actions;
  for (auto& [workspace, limit] : limits_.Limits()) {
    UpdateDemand(workspace, limit, now);
    AdjustLoans(workspace, limit, now, actions);
  }
  return actions;
}

// Updates the demand and borrows at once: the rate smoothed at the last timer
// doesn't show demand that has just moved here.
loan_actions loan_book::OnDemand(const workspace_id& workspace,
                                 monotonic_time now) {
  loan_actions actions;
  workspace_limit* limit = limits_.Find(workspace);
  if (limit == nullptr || released_) return actions;
  if (now < demands_[workspace].counted_at + kMinUpdateInterval) return actions;
  UpdateDemand(workspace, *limit, now);
  AdjustLoans(workspace, *limit, now, actions);
  return actions;
}

loan_actions loan_book::OnLoanAsk(const entry_ref& from,
                                  const loan_request& ask, monotonic_time now) {
  loan_actions actions;
  workspace_limit* limit = limits_.Find(ask.workspace);
  if (limit == nullptr || released_ || from == self_) return actions;
  if (ask.duration_ms <= 0 || ask.duration_ms > kMaxLoanMs) return actions;
  const auto [found, added] = lent_.try_emplace(peer_key{ask.workspace, from});
  lent_loan& lent = found->second;
  if (added) lent.part_id = next_part_id_++;
  // The message is repeated, or a later one has overtaken it.
  if (ask.number <= lent.number) return actions;
  lent.number = ask.number;

  token_bucket& bucket = limit->bucket;
  bucket.Advance(now);
  const monotonic_time until =
      now + std::chrono::milliseconds(ask.duration_ms) + settings_.margin;
  const std::int64_t lent_before = lent.until > now ? lent.ppb : 0;
  const double tokens_before = bucket.Tokens();
  const std::int64_t ppb_before = bucket.Ppb();
  const double spare_tokens = SpareTokens(ask.workspace, bucket);
  const std::int64_t spare = SparePpb(ask.workspace, bucket, from, now, until);
  const std::int64_t more = std::clamp<std::int64_t>(
      ask.ppb - lent_before, 0, std::max<std::int64_t>(0, spare));
  // A share that shrinks before the loan's end can't extend the loan, and a
  // share that the local demand needs again returns when the loan ends.
  const bool is_needed_here = more == 0 &&
                              WantedPpb(ask.workspace, bucket) > ppb_before &&
                              !YieldsShareTo(ask.workspace, bucket, from);
  const bool may_extend = spare >= 0 && !is_needed_here;
  loan_grant grant{ask.workspace, ask.number, 0, 0, ask.duration_ms};
  if (may_extend && lent_before + more > 0) {
    grant.ppb = lent_before + more;
    lent.ppb = grant.ppb;
    lent.until = std::max(lent.until, until);
    bucket.SetPart({lent.part_id, -lent.ppb, lent.until}, now);
  }
  // The tokens of the share that is lent or, if that is more, the requested
  // tokens as far as they are spare here.
  const double own = static_cast<double>(ppb_before);
  const double share_tokens =
      own > 0 ? tokens_before * std::min(1.0, static_cast<double>(more) / own)
              : 0;
  const double wanted = std::clamp(ask.tokens, 0.0, spare_tokens);
  grant.tokens = bucket.TakeTokens(std::max(share_tokens, wanted), now);
  actions.emplace_back(send_loan_grant{from, grant});
  return actions;
}

void loan_book::OnLoanGrant(const entry_ref& from, const loan_grant& grant,
                            monotonic_time now) {
  const auto found = borrowed_.find(peer_key{grant.workspace, from});
  workspace_limit* limit = limits_.Find(grant.workspace);
  if (found == borrowed_.end() || limit == nullptr) return;
  borrowed_loan& loan = found->second;
  // Only the reply to the pending request counts, and only once: the time of an
  // earlier request is no longer known.
  if (grant.number != loan.request_number || grant.number <= loan.number)
    return;
  loan.number = grant.number;
  loan.request_number = 0;
  const bool is_refused =
      grant.ppb < loan.requested_ppb ||
      (grant.ppb <= loan.ppb && grant.tokens < kMinLoanTokens);
  const int max_doublings = RoleOf(grant.workspace) == home_role::kSelf
                                ? kMaxBackoffDoublingsAtHome
                                : kMaxBackoffDoublings;
  const int doublings = std::min(loan.refusals, max_doublings);
  loan.refusals = is_refused ? loan.refusals + 1 : 0;
  if (is_refused) {
    loan.next_request_at = now + settings_.refused_pause * (1 << doublings);
  }
  const monotonic_time until =
      loan.requested_at +
      std::min(loan.requested_duration,
               duration(std::chrono::milliseconds(grant.duration_ms)));
  if (grant.ppb > 0 && grant.ppb <= kWholePpb && until > now) {
    loan.ppb = grant.ppb;
    loan.until = until;
    limit->bucket.SetPart({loan.part_id, loan.ppb, loan.until}, now);
  }
  // Tokens are added after the share, which makes room for them. They need no
  // deadline: the lender no longer has them, and the capacity here limits them.
  if (grant.tokens > 0) limit->bucket.AddTokens(grant.tokens, now);
}

void loan_book::OnLoanReturn(const entry_ref& from, const loan_return& returned,
                             monotonic_time now) {
  const auto found = lent_.find(peer_key{returned.workspace, from});
  workspace_limit* limit = limits_.Find(returned.workspace);
  if (found == lent_.end() || limit == nullptr) return;
  lent_loan& lent = found->second;
  if (returned.number <= lent.number) return;
  lent.number = returned.number;
  if (lent.until <= now || returned.kept_ppb >= lent.ppb) return;
  const std::int64_t given_back =
      lent.ppb - std::max<std::int64_t>(returned.kept_ppb, 0);
  lent.ppb -= given_back;
  token_bucket& bucket = limit->bucket;
  bucket.SetPart({lent.part_id, -lent.ppb, lent.until}, now);
  const double most = bucket.ContractBurst() * static_cast<double>(given_back) /
                      static_cast<double>(kWholePpb);
  if (returned.tokens > 0) {
    bucket.AddTokens(std::min(returned.tokens, most), now);
  }
}

loan_actions loan_book::OnRelease(monotonic_time now) {
  loan_actions actions;
  for (auto& [workspace, limit] : limits_.Limits()) {
    GiveBack(workspace, limit, kWholePpb, now, actions);
  }
  released_ = true;
  return actions;
}

bool loan_book::MayBorrow(const workspace_id& workspace,
                          monotonic_time now) const {
  if (released_) return false;
  return std::any_of(peers_.begin(), peers_.end(), [&](const entry_ref& peer) {
    const auto found = borrowed_.find(peer_key{workspace, peer});
    if (found == borrowed_.end()) return true;
    const borrowed_loan& loan = found->second;
    const bool is_pending = loan.request_number != 0 &&
                            now < loan.requested_at + settings_.request_timeout;
    return is_pending || now >= loan.next_request_at;
  });
}

std::int64_t loan_book::BorrowedPpb(const workspace_id& workspace,
                                    monotonic_time now) const {
  std::int64_t sum = 0;
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    if (at->second.until > now) sum += at->second.ppb;
  }
  return sum;
}

std::int64_t loan_book::LentPpb(const workspace_id& workspace,
                                monotonic_time now) const {
  std::int64_t sum = 0;
  for (auto at = lent_.lower_bound(peer_key{workspace, entry_ref{}});
       at != lent_.end() && at->first.first == workspace; ++at) {
    if (at->second.until > now) sum += at->second.ppb;
  }
  return sum;
}

home_role loan_book::RoleOf(const workspace_id& workspace) const {
  return homes_ == nullptr ? home_role::kNone : homes_->RoleOf(workspace);
}

// Drops records older than kRecordRetention, and lent records without a loan. A
// message that is repeated after that has no effect, or costs the lender tokens
// and a share for the time of one loan; it never gives a share twice.
void loan_book::DropOldRecords(monotonic_time now) {
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + kCleanupInterval;
  const monotonic_time old = now - kRecordRetention;
  std::erase_if(borrowed_, [&](const auto& item) {
    return item.second.until < old && item.second.requested_at < old;
  });
  std::erase_if(lent_,
                [&](const auto& item) { return item.second.until < old; });
}

// Keeps two averages. The slow one is the demand: a small workspace has so few
// arrivals that a fast average jumps by several times at each, and its loans
// would move back and forth for nothing. When the fast average leaves the range
// that random arrivals explain, the demand has moved, and the slow average is
// set to the fast one at once.
void loan_book::UpdateDemand(const workspace_id& workspace,
                             workspace_limit& limit, monotonic_time now) {
  demand& seen = demands_[workspace];
  const double seconds = ToSeconds(now - seen.counted_at);
  const auto count =
      static_cast<double>(limit.arrivals - seen.counted_arrivals);
  const bool is_first = seen.counted_at == monotonic_time{};
  seen.counted_at = now;
  seen.counted_arrivals = limit.arrivals;
  if (is_first || seconds <= 0) return;
  const double fast = ToSeconds(settings_.fast_smoothing);
  Smooth(seen.fast_per_s, count / seconds, seconds / fast);
  Smooth(seen.slow_per_s, count / seconds,
         seconds / ToSeconds(settings_.slow_smoothing));
  const double deviation = std::sqrt(seen.fast_per_s / (2 * fast));
  const double range = kDemandChangeDeviations * deviation;
  const bool is_above = seen.slow_per_s < seen.fast_per_s - range;
  const bool is_below = seen.slow_per_s > seen.fast_per_s + range + 1 / fast;
  if (is_above || is_below) seen.slow_per_s = seen.fast_per_s;
  if (count > 0) {
    seen.arrived_at = now;
    seen.per_s_at_arrival = std::max(seen.slow_per_s, kMinDemandPerSecond);
  }
  const double silence = ToSeconds(now - seen.arrived_at);
  if (silence * seen.per_s_at_arrival > kMissedArrivalsForNoDemand) {
    seen.slow_per_s = seen.fast_per_s = seen.per_s_at_arrival = 0;
  }
}

// Returns the share of the contract that carries the demand at this entry.
std::int64_t loan_book::WantedPpb(const workspace_id& workspace,
                                  const token_bucket& bucket) const {
  const auto seen = demands_.find(workspace);
  if (seen == demands_.end()) return 0;
  // The home of a small workspace has all of its tokens, and no other entry
  // needs any; see token_home.
  const home_role role = RoleOf(workspace);
  if (role == home_role::kElsewhere) return 0;
  if (role == home_role::kSelf) {
    const duration silence = seen->second.counted_at - seen->second.arrived_at;
    return silence < kHomeIdleRetention ? kWholePpb : 0;
  }
  if (seen->second.per_s_at_arrival == 0) return 0;
  if (bucket.ContractRate() <= 0 || bucket.ContractBurst() <= 0) return 0;
  const double slow_per_s = seen->second.slow_per_s;
  const double deviation =
      std::sqrt(slow_per_s / (2 * ToSeconds(settings_.slow_smoothing)));
  const double by_rate = (slow_per_s + kDemandMarginDeviations * deviation) /
                         bucket.ContractRate();
  const double by_capacity = kMinCapacityTokens / bucket.ContractBurst();
  return ToPpb(std::max(by_rate, by_capacity));
}

// A small workspace's share here may be less than one token, which can never
// admit a request. If all entries kept such shares, all requests of the
// workspace would be refused. So of two entries that want the same share, the
// one with the lower rank for this workspace gives its share away, and the
// other entries reach whole tokens.
bool loan_book::YieldsShareTo(const workspace_id& workspace,
                              const token_bucket& bucket,
                              const entry_ref& other) const {
  return bucket.Capacity() < 1.0 &&
         RankOf(workspace, self_) < RankOf(workspace, other);
}

// Returns the share that can be lent until `until`, beyond what is lent
// already: only this entry's own share, as loans to it may end at any time,
// less what the local demand needs. Negative when the own share doesn't even
// cover what is lent.
std::int64_t loan_book::SparePpb(const workspace_id& workspace,
                                 const token_bucket& bucket,
                                 const entry_ref& borrower, monotonic_time now,
                                 monotonic_time until) const {
  const std::int64_t own = limits_.OwnPpbUntil(now, until);
  const std::int64_t free = own - LentPpb(workspace, now);
  if (free <= 0) return free;
  // The capacity of tokens that were granted to other entries stays here until
  // their reservations end.
  if (bucket.ReservedTokens() > 0) return 0;
  if (RoleOf(workspace) == home_role::kElsewhere) return free;
  if (YieldsShareTo(workspace, bucket, borrower)) return free;
  const std::int64_t kept =
      std::max(WantedPpb(workspace, bucket) - BorrowedPpb(workspace, now),
               own / kWholePpm * settings_.kept_share_ppm);
  return std::max<std::int64_t>(0, free - kept);
}

// Returns the tokens to request; 0 while there are enough. A small workspace's
// bucket here holds one or two: after a few requests close together it refuses
// the next, although the buckets of other entries are full.
double loan_book::MissingTokens(const workspace_id& workspace,
                                const token_bucket& bucket) const {
  const auto seen = demands_.find(workspace);
  if (seen == demands_.end() || seen->second.per_s_at_arrival == 0) return 0;
  if (RoleOf(workspace) == home_role::kElsewhere) return 0;
  const double slow_per_s = seen->second.slow_per_s;
  const double room = bucket.Capacity() - bucket.Tokens();
  if (bucket.Tokens() >= std::max(kLowTokens, slow_per_s * kLowTokenSeconds))
    return 0;
  return std::clamp(std::max(1.0, slow_per_s * kTargetTokenSeconds), 0.0, room);
}

// Returns the tokens that the local demand doesn't need for a while.
double loan_book::SpareTokens(const workspace_id& workspace,
                              const token_bucket& bucket) const {
  if (RoleOf(workspace) == home_role::kElsewhere) return bucket.Tokens();
  const auto seen = demands_.find(workspace);
  const double slow_per_s =
      seen == demands_.end() ? 0 : seen->second.slow_per_s;
  const double kept = std::max(1.0, slow_per_s * kTargetTokenSeconds);
  return std::max(0.0, bucket.Tokens() - kept);
}

// Handles demand that is in one zone or moves between zones: without loans a
// workspace inside its rate would be refused where its callers are, while its
// tokens are unused elsewhere. Borrows ahead of need: when the wanted share
// exceeds the share here and the tokens may run out before a loan arrives. A
// home borrows whenever more than kMinHomeShortagePpb is missing.
void loan_book::AdjustLoans(const workspace_id& workspace,
                            workspace_limit& limit, monotonic_time now,
                            loan_actions& actions) {
  limit.bucket.Advance(now);
  const std::int64_t wanted = WantedPpb(workspace, limit.bucket);
  const std::int64_t have = limit.bucket.Ppb();
  const double missing_tokens = MissingTokens(workspace, limit.bucket);
  const bool is_home = RoleOf(workspace) == home_role::kSelf;
  const bool is_short = is_home ? wanted > have + kMinHomeShortagePpb
                                : wanted > have + kMinLoanPpb &&
                                      IsRunningOut(limit.bucket, wanted - have);
  if (is_short) {
    Borrow(workspace, wanted - have, missing_tokens, now, actions);
  } else if (static_cast<double>(have) >
             static_cast<double>(wanted) * kReturnThreshold) {
    const auto keep = static_cast<std::int64_t>(static_cast<double>(wanted) *
                                                (1 + kReturnThreshold) / 2);
    GiveBack(workspace, limit, have - keep, now, actions);
  }
  if (missing_tokens > 0) {
    BorrowTokens(workspace, missing_tokens, now, actions);
  }
  Renew(workspace, now, actions);
}

bool loan_book::MayRequestFrom(const workspace_id& workspace,
                               const entry_ref& lender,
                               monotonic_time now) const {
  const auto found = borrowed_.find(peer_key{workspace, lender});
  if (found == borrowed_.end()) return true;
  const borrowed_loan& loan = found->second;
  const bool is_pending = loan.request_number != 0 &&
                          now < loan.requested_at + settings_.request_timeout;
  return !is_pending && now >= loan.next_request_at;
}

// Returns what is requested and not yet granted, so that one shortage isn't
// requested twice.
loan_book::pending_loans loan_book::PendingLoans(const workspace_id& workspace,
                                                 monotonic_time now) const {
  pending_loans sum;
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    const borrowed_loan& loan = at->second;
    if (loan.request_number == 0) continue;
    if (now >= loan.requested_at + settings_.request_timeout) continue;
    sum.ppb += std::max<std::int64_t>(0, loan.requested_ppb - loan.ppb);
    sum.tokens += loan.requested_tokens;
  }
  return sum;
}

void loan_book::Borrow(const workspace_id& workspace, std::int64_t missing_ppb,
                       double missing_tokens, monotonic_time now,
                       loan_actions& actions) {
  missing_ppb -= PendingLoans(workspace, now).ppb;
  if (missing_ppb < kMinLoanPpb) return;
  std::vector<const entry_ref*> lenders;
  for (const entry_ref& peer : peers_) {
    if (static_cast<int>(lenders.size()) >= settings_.max_lenders) break;
    if (MayRequestFrom(workspace, peer, now)) lenders.push_back(&peer);
  }
  const double fraction =
      kOverRequestFactor / static_cast<double>(lenders.size());
  const auto each =
      static_cast<std::int64_t>(static_cast<double>(missing_ppb) * fraction);
  for (const entry_ref* lender : lenders) {
    RequestLoan(workspace, *lender, std::max(each, kMinLoanPpb),
                missing_tokens * fraction / kOverRequestFactor, now, actions);
  }
}

void loan_book::BorrowTokens(const workspace_id& workspace,
                             double missing_tokens, monotonic_time now,
                             loan_actions& actions) {
  // Tokens above the capacity would be lost on arrival.
  missing_tokens -= PendingLoans(workspace, now).tokens;
  if (missing_tokens < kMinLoanTokens) return;
  const std::size_t count = std::min<std::size_t>(
      peers_.size(), static_cast<std::size_t>(settings_.max_lenders));
  if (count == 0) return;
  const std::size_t first = random_() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const entry_ref& lender = peers_[(first + i) % count];
    if (!MayRequestFrom(workspace, lender, now)) continue;
    RequestLoan(workspace, lender, 0, missing_tokens, now, actions);
    return;
  }
}

void loan_book::Renew(const workspace_id& workspace, monotonic_time now,
                      loan_actions& actions) {
  const duration renew_after =
      FromSeconds(ToSeconds(settings_.loan) * kRenewAfterFraction);
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    const borrowed_loan& loan = at->second;
    if (loan.ppb <= 0 || loan.until <= now) continue;
    if (loan.until - now > settings_.loan - renew_after) continue;
    if (loan.request_number != 0 &&
        now < loan.requested_at + settings_.request_timeout) {
      continue;
    }
    RequestLoan(workspace, at->first.second, 0, 0, now, actions);
  }
}

// Returns an unneeded share at once, before the loan ends: the demand that left
// here arrives elsewhere now, and the entry there can only borrow the share
// from the lender.
void loan_book::GiveBack(const workspace_id& workspace, workspace_limit& limit,
                         std::int64_t excess_ppb, monotonic_time now,
                         loan_actions& actions) {
  limit.bucket.Advance(now);
  // The share still covers tokens in flight to other entries; it is returned at
  // a later timer, or ends with the loan.
  if (limit.bucket.ReservedTokens() > 0) return;
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    borrowed_loan& loan = at->second;
    if (loan.until <= now || loan.ppb <= 0) continue;
    if (excess_ppb < kMinLoanPpb) return;
    const std::int64_t back = std::min(excess_ppb, loan.ppb);
    excess_ppb -= back;
    token_bucket& bucket = limit.bucket;
    bucket.Advance(now);
    const double tokens = bucket.Ppb() > 0
                              ? bucket.Tokens() * static_cast<double>(back) /
                                    static_cast<double>(bucket.Ppb())
                              : 0;
    // The tokens leave this bucket before the lender can have them.
    const double taken = bucket.TakeTokens(tokens, now);
    loan.ppb -= back;
    loan.number = next_number_++;
    loan.request_number = 0;
    bucket.SetPart({loan.part_id, loan.ppb, loan.until}, now);
    actions.emplace_back(send_loan_return{
        at->first.second, {workspace, loan.number, loan.ppb, taken}});
  }
}

void loan_book::RequestLoan(const workspace_id& workspace,
                            const entry_ref& lender, std::int64_t more_ppb,
                            double tokens, monotonic_time now,
                            loan_actions& actions) {
  const auto [found, added] =
      borrowed_.try_emplace(peer_key{workspace, lender});
  borrowed_loan& loan = found->second;
  if (added) loan.part_id = next_part_id_++;
  if (loan.until <= now) loan.ppb = 0;
  loan.request_number = next_number_++;
  loan.requested_at = now;
  loan.requested_duration = settings_.loan;
  loan.requested_tokens = tokens;
  loan.requested_ppb = std::min(loan.ppb + more_ppb, kWholePpb);
  actions.emplace_back(
      send_loan_request{lender,
                        {workspace, loan.request_number, loan.requested_ppb,
                         tokens, ToWholeMs(settings_.loan)}});
}

}  // namespace citron
