#include "citron/protocol/loan_book.h"

#include <algorithm>
#include <cmath>

#include "citron/base/digest.h"

namespace citron {

namespace {

// Ids below are the admission's own parts.
constexpr std::uint64_t kFirstPartId = 16;

// Deviations of the smoothed demand above its mean that a part should carry.
// The tokens in the bucket carry more than that for a while; wanting it all
// the time would leave nobody with anything to lend.
constexpr double kDeviations = 1.5;

// Deviations that random arrivals leave once in a hundred ticks; beyond them
// the demand has changed.
constexpr double kSurprise = 2.5;

// So many arrivals that didn't come mean that none will: by chance that
// happens once in four hundred. Demand is taken for at least the one here, so
// that after a single request the room for the next stays for six seconds.
constexpr double kSilentArrivals = 6;
constexpr double kLeastDemand = 1;  // Requests a second.

// Tokens that should last until a lender's answer from another region, and
// those to ask for, as time at the present demand.
constexpr double kLowSeconds = 0.3;
constexpr double kEnoughSeconds = 1.0;
constexpr double kLowTokens = 1.5;
constexpr double kFewTokens = 0.25;

// Of the pause after a refusal in a row. With five the callers of an overload
// would cost half the messages, but demand that moves with 0.9 of its rate
// would be refused 12% in the second after (0.7% with two).
constexpr int kMaxDoublings = 2;

// At a home, as what it lacks is mostly not to be had: the floors of dead VMs,
// and the parts of VMs that are no peers. Asking for it five times a second
// would cost more messages than all tokens that it grants.
constexpr int kMaxDoublingsAtHome = 6;
constexpr std::int64_t kEnoughAtHomePpb = kWholePpb / 20;

// A home keeps what it holds this long after the last request, so that one
// request a few seconds after another finds a token at once; loans would take
// a round trip more than the request may wait.
constexpr duration kHomeKeepsFor = std::chrono::seconds(30);

// A part below this many tokens of capacity can't admit a request after a
// pause; a small workspace's share of a large fleet is often less than one.
constexpr double kLeastCapacity = 2.0;

// Borrowed parts go back when they exceed what is wanted by this factor; in
// between nothing moves, so that noise sends no messages.
constexpr double kReturnAbove = 1.3;

// Refusals may come by the thousand; the demand is worked out this often.
constexpr duration kLeastMeasured = std::chrono::milliseconds(10);

// A part smaller than this isn't worth a message.
constexpr std::int64_t kLeastLoanPpb = kWholePpb / 10'000;

// A loan is renewed when this part of it is over.
constexpr double kRenewAfter = 0.5;

// Asked for beyond what is missing, as some of the asked have nothing.
constexpr double kOverAsk = 1.5;

// Loans of hostile length would freeze the lender's share.
constexpr std::int64_t kLongestLoanMs = 60'000;

// Far above any time a message takes.
constexpr duration kRememberFor = std::chrono::seconds(30);
constexpr duration kForgetInterval = std::chrono::seconds(5);

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

// Whether the tokens won't outlast the time that borrowing takes.
bool IsRunningOut(const token_bucket& bucket, std::int64_t missing_ppb) {
  const double drain_per_s = bucket.ContractRate() *
                             static_cast<double>(missing_ppb) /
                             static_cast<double>(kWholePpb);
  return bucket.Capacity() < kLeastCapacity ||
         bucket.Tokens() < std::max(kLowTokens, drain_per_s * kEnoughSeconds);
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
      next_part_id_(kFirstPartId) {}

void loan_book::SetPeers(std::vector<entry_ref> peers) {
  peers_ = std::move(peers);
}

loan_actions loan_book::OnTimer(monotonic_time now) {
  loan_actions actions;
  Forget(now);
  if (released_) return actions;
  for (auto& [workspace, limit] : limits_.Limits()) {
    Measure(workspace, limit, now);
    Balance(workspace, limit, now, actions);
  }
  return actions;
}

// Demand that moved here a moment ago is known only by its refusals until the
// smoothed rate has risen.
loan_actions loan_book::OnDemand(const workspace_id& workspace,
                                 monotonic_time now) {
  loan_actions actions;
  workspace_limit* limit = limits_.Find(workspace);
  if (limit == nullptr || released_) return actions;
  if (now < demands_[workspace].counted_at + kLeastMeasured) return actions;
  Measure(workspace, *limit, now);
  Balance(workspace, *limit, now, actions);
  return actions;
}

loan_actions loan_book::OnLoanAsk(const entry_ref& from, const loan_ask& ask,
                                  monotonic_time now) {
  loan_actions actions;
  workspace_limit* limit = limits_.Find(ask.workspace);
  if (limit == nullptr || released_ || from == self_) return actions;
  if (ask.duration_ms <= 0 || ask.duration_ms > kLongestLoanMs) return actions;
  const auto [found, added] = lent_.try_emplace(peer_key{ask.workspace, from});
  lent_loan& lent = found->second;
  if (added) lent.part_id = next_part_id_++;
  // A repeat, or overtaken by a later message.
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
  // A share that shrinks before the end can't carry what is lent on; and what
  // the demand here needs again comes back when the loan ends.
  const bool is_needed_here = more == 0 &&
                              WantedPpb(ask.workspace, bucket) > ppb_before &&
                              !Concedes(ask.workspace, bucket, from);
  const bool may_extend = spare >= 0 && !is_needed_here;
  loan_grant grant{ask.workspace, ask.number, 0, 0, ask.duration_ms};
  if (may_extend && lent_before + more > 0) {
    grant.ppb = lent_before + more;
    lent.ppb = grant.ppb;
    lent.until = std::max(lent.until, until);
    bucket.SetPart({lent.part_id, -lent.ppb, lent.until}, now);
  }
  // The tokens of the part that goes; and if that is little, some of those
  // that aren't needed here.
  const double own = static_cast<double>(ppb_before);
  const double with_part =
      own > 0 ? tokens_before * std::min(1.0, static_cast<double>(more) / own)
              : 0;
  const double wanted = std::clamp(ask.tokens, 0.0, spare_tokens);
  grant.tokens = bucket.TakeTokens(std::max(with_part, wanted), now);
  actions.emplace_back(send_loan_grant{from, grant});
  return actions;
}

void loan_book::OnLoanGrant(const entry_ref& from, const loan_grant& grant,
                            monotonic_time now) {
  const auto found = borrowed_.find(peer_key{grant.workspace, from});
  workspace_limit* limit = limits_.Find(grant.workspace);
  if (found == borrowed_.end() || limit == nullptr) return;
  borrowed_loan& loan = found->second;
  // Only the answer to the ask that is out counts, and once: the time of an
  // earlier one is not known any more.
  if (grant.number != loan.asked_number || grant.number <= loan.number) return;
  loan.number = grant.number;
  loan.asked_number = 0;
  const bool is_refused = grant.ppb < loan.asked_ppb ||
                          (grant.ppb <= loan.ppb && grant.tokens < kFewTokens);
  const int most_doublings = RoleOf(grant.workspace) == home_role::kSelf
                                 ? kMaxDoublingsAtHome
                                 : kMaxDoublings;
  const int doublings = std::min(loan.refusals, most_doublings);
  loan.refusals = is_refused ? loan.refusals + 1 : 0;
  if (is_refused) {
    loan.ask_again_at = now + settings_.refused_pause * (1 << doublings);
  }
  const monotonic_time until =
      loan.asked_at +
      std::min(loan.asked_duration,
               duration(std::chrono::milliseconds(grant.duration_ms)));
  if (grant.ppb > 0 && grant.ppb <= kWholePpb && until > now) {
    loan.ppb = grant.ppb;
    loan.until = until;
    limit->bucket.SetPart({loan.part_id, loan.ppb, loan.until}, now);
  }
  // After the part, which makes room for them. Tokens need no deadline: they
  // are gone at the lender, and are cut to the capacity here.
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
    const bool is_asked =
        loan.asked_number != 0 && now < loan.asked_at + settings_.ask_timeout;
    return is_asked || now >= loan.ask_again_at;
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

// Drops records whose numbers no message in flight can refer to any more. A
// message later still does nothing or costs the lender a part for one loan's
// time; it never gives a part twice.
void loan_book::Forget(monotonic_time now) {
  if (now < forget_at_) return;
  forget_at_ = now + kForgetInterval;
  const monotonic_time old = now - kRememberFor;
  std::erase_if(borrowed_, [&](const auto& item) {
    return item.second.until < old && item.second.asked_at < old;
  });
  std::erase_if(lent_,
                [&](const auto& item) { return item.second.until < old; });
}

// Two averages. The slow one is what counts: a small workspace's arrivals are
// so few that a fast average jumps by several times at each, and its loans
// would go back and forth for nothing. When the fast one leaves the range that
// random arrivals explain, the demand has moved, and the slow one follows at
// once.
void loan_book::Measure(const workspace_id& workspace, workspace_limit& limit,
                        monotonic_time now) {
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
  Smooth(seen.per_s, count / seconds,
         seconds / ToSeconds(settings_.slow_smoothing));
  const double deviation = std::sqrt(seen.fast_per_s / (2 * fast));
  const double range = kSurprise * deviation;
  const bool is_above = seen.per_s < seen.fast_per_s - range;
  const bool is_below = seen.per_s > seen.fast_per_s + range + 1 / fast;
  if (is_above || is_below) seen.per_s = seen.fast_per_s;
  if (count > 0) {
    seen.arrived_at = now;
    seen.per_s_at_arrival = std::max(seen.per_s, kLeastDemand);
  }
  const double silence = ToSeconds(now - seen.arrived_at);
  if (silence * seen.per_s_at_arrival > kSilentArrivals) {
    seen.per_s = seen.fast_per_s = seen.per_s_at_arrival = 0;
  }
}

// The part of the contract that carries the demand seen here.
std::int64_t loan_book::WantedPpb(const workspace_id& workspace,
                                  const token_bucket& bucket) const {
  const auto seen = demands_.find(workspace);
  if (seen == demands_.end()) return 0;
  // The home of a small workspace has all of its tokens and nobody else needs
  // any; see token_home.
  const home_role role = RoleOf(workspace);
  if (role == home_role::kElsewhere) return 0;
  if (role == home_role::kSelf) {
    const duration silence = seen->second.counted_at - seen->second.arrived_at;
    return silence < kHomeKeepsFor ? kWholePpb : 0;
  }
  if (seen->second.per_s_at_arrival == 0) return 0;
  if (bucket.ContractRate() <= 0 || bucket.ContractBurst() <= 0) return 0;
  const double per_s = seen->second.per_s;
  const double deviation =
      std::sqrt(per_s / (2 * ToSeconds(settings_.slow_smoothing)));
  const double by_rate =
      (per_s + kDeviations * deviation) / bucket.ContractRate();
  const double by_capacity = kLeastCapacity / bucket.ContractBurst();
  return ToPpb(std::max(by_rate, by_capacity));
}

// A small workspace's part here may be less than one token, with which nothing
// can ever be admitted. If all entries kept such parts, all its requests would
// be refused. So of two that want the same, the one with the lower rank for
// this workspace gives its part away and the others reach whole tokens.
bool loan_book::Concedes(const workspace_id& workspace,
                         const token_bucket& bucket,
                         const entry_ref& other) const {
  return bucket.Capacity() < 1.0 &&
         RankOf(workspace, self_) < RankOf(workspace, other);
}

// What can be lent until then, beyond what is lent already: own parts only,
// as what is borrowed may end any time, less what the demand here needs.
// Negative when the own parts don't even cover what is lent.
std::int64_t loan_book::SparePpb(const workspace_id& workspace,
                                 const token_bucket& bucket,
                                 const entry_ref& borrower, monotonic_time now,
                                 monotonic_time until) const {
  const std::int64_t own = limits_.OwnPpbUntil(now, until);
  const std::int64_t free = own - LentPpb(workspace, now);
  if (free <= 0) return free;
  // The room of tokens that were granted to other entries stays here until
  // those are used.
  if (bucket.TokensAside() > 0) return 0;
  if (RoleOf(workspace) == home_role::kElsewhere) return free;
  if (Concedes(workspace, bucket, borrower)) return free;
  const std::int64_t kept =
      std::max(WantedPpb(workspace, bucket) - BorrowedPpb(workspace, now),
               own / kWholePpm * settings_.keep_ppm);
  return std::max<std::int64_t>(0, free - kept);
}

// Tokens to ask for; 0 while there are enough. A small workspace's bucket here
// holds one or two: after a few requests close together it refuses the next,
// although the other entries' buckets are full.
double loan_book::MissingTokens(const workspace_id& workspace,
                                const token_bucket& bucket) const {
  const auto seen = demands_.find(workspace);
  if (seen == demands_.end() || seen->second.per_s_at_arrival == 0) return 0;
  if (RoleOf(workspace) == home_role::kElsewhere) return 0;
  const double per_s = seen->second.per_s;
  const double room = bucket.Capacity() - bucket.Tokens();
  if (bucket.Tokens() >= std::max(kLowTokens, per_s * kLowSeconds)) return 0;
  return std::clamp(std::max(1.0, per_s * kEnoughSeconds), 0.0, room);
}

// What isn't needed here for a while.
double loan_book::SpareTokens(const workspace_id& workspace,
                              const token_bucket& bucket) const {
  if (RoleOf(workspace) == home_role::kElsewhere) return bucket.Tokens();
  const auto seen = demands_.find(workspace);
  const double per_s = seen == demands_.end() ? 0 : seen->second.per_s;
  const double kept = std::max(1.0, per_s * kEnoughSeconds);
  return std::max(0.0, bucket.Tokens() - kept);
}

// Answers demand that sits in one zone or moves between zones: a workspace
// inside its rate would be refused where its callers are, while its tokens
// lie unused elsewhere. Asked ahead, when the smoothed demand exceeds the part
// here and the bucket still has tokens for the time that the answer takes.
void loan_book::Balance(const workspace_id& workspace, workspace_limit& limit,
                        monotonic_time now, loan_actions& actions) {
  limit.bucket.Advance(now);
  const std::int64_t wanted = WantedPpb(workspace, limit.bucket);
  const std::int64_t have = limit.bucket.Ppb();
  const double missing_tokens = MissingTokens(workspace, limit.bucket);
  const bool is_home = RoleOf(workspace) == home_role::kSelf;
  const bool is_short = is_home ? wanted > have + kEnoughAtHomePpb
                                : wanted > have + kLeastLoanPpb &&
                                      IsRunningOut(limit.bucket, wanted - have);
  if (is_short) {
    Borrow(workspace, wanted - have, missing_tokens, now, actions);
  } else if (static_cast<double>(have) >
             static_cast<double>(wanted) * kReturnAbove) {
    const auto keep = static_cast<std::int64_t>(static_cast<double>(wanted) *
                                                (1 + kReturnAbove) / 2);
    GiveBack(workspace, limit, have - keep, now, actions);
  }
  if (missing_tokens > 0) {
    BorrowTokens(workspace, missing_tokens, now, actions);
  }
  Renew(workspace, now, actions);
}

bool loan_book::MayAsk(const workspace_id& workspace, const entry_ref& lender,
                       monotonic_time now) const {
  const auto found = borrowed_.find(peer_key{workspace, lender});
  if (found == borrowed_.end()) return true;
  const borrowed_loan& loan = found->second;
  const bool is_asked =
      loan.asked_number != 0 && now < loan.asked_at + settings_.ask_timeout;
  return !is_asked && now >= loan.ask_again_at;
}

// Asked for and not answered yet, so that one shortage isn't asked for twice.
loan_book::arriving loan_book::Arriving(const workspace_id& workspace,
                                        monotonic_time now) const {
  arriving sum;
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    const borrowed_loan& loan = at->second;
    if (loan.asked_number == 0) continue;
    if (now >= loan.asked_at + settings_.ask_timeout) continue;
    sum.ppb += std::max<std::int64_t>(0, loan.asked_ppb - loan.ppb);
    sum.tokens += loan.asked_tokens;
  }
  return sum;
}

void loan_book::Borrow(const workspace_id& workspace, std::int64_t missing_ppb,
                       double missing_tokens, monotonic_time now,
                       loan_actions& actions) {
  missing_ppb -= Arriving(workspace, now).ppb;
  if (missing_ppb < kLeastLoanPpb) return;
  std::vector<const entry_ref*> lenders;
  for (const entry_ref& peer : peers_) {
    if (static_cast<int>(lenders.size()) >= settings_.max_lenders) break;
    if (MayAsk(workspace, peer, now)) lenders.push_back(&peer);
  }
  const double part = kOverAsk / static_cast<double>(lenders.size());
  const auto each =
      static_cast<std::int64_t>(static_cast<double>(missing_ppb) * part);
  for (const entry_ref* lender : lenders) {
    Ask(workspace, *lender, std::max(each, kLeastLoanPpb),
        missing_tokens * part / kOverAsk, now, actions);
  }
}

void loan_book::BorrowTokens(const workspace_id& workspace,
                             double missing_tokens, monotonic_time now,
                             loan_actions& actions) {
  // More than there is room for would be lost when it comes.
  missing_tokens -= Arriving(workspace, now).tokens;
  if (missing_tokens < kFewTokens) return;
  const std::size_t count = std::min<std::size_t>(
      peers_.size(), static_cast<std::size_t>(settings_.max_lenders));
  if (count == 0) return;
  const std::size_t first = random_() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const entry_ref& lender = peers_[(first + i) % count];
    if (!MayAsk(workspace, lender, now)) continue;
    Ask(workspace, lender, 0, missing_tokens, now, actions);
    return;
  }
}

void loan_book::Renew(const workspace_id& workspace, monotonic_time now,
                      loan_actions& actions) {
  const duration renew_after =
      FromSeconds(ToSeconds(settings_.loan) * kRenewAfter);
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    const borrowed_loan& loan = at->second;
    if (loan.ppb <= 0 || loan.until <= now) continue;
    if (loan.until - now > settings_.loan - renew_after) continue;
    if (loan.asked_number != 0 && now < loan.asked_at + settings_.ask_timeout) {
      continue;
    }
    Ask(workspace, at->first.second, 0, 0, now, actions);
  }
}

// What isn't needed goes back at once, before the loan ends: the demand that
// left here arrives elsewhere now, and its new place can only borrow it from
// the lender.
void loan_book::GiveBack(const workspace_id& workspace, workspace_limit& limit,
                         std::int64_t excess_ppb, monotonic_time now,
                         loan_actions& actions) {
  limit.bucket.Advance(now);
  // The room of tokens that are under way to other entries; it goes back in a
  // moment, or when the loan ends.
  if (limit.bucket.TokensAside() > 0) return;
  for (auto at = borrowed_.lower_bound(peer_key{workspace, entry_ref{}});
       at != borrowed_.end() && at->first.first == workspace; ++at) {
    borrowed_loan& loan = at->second;
    if (loan.until <= now || loan.ppb <= 0) continue;
    if (excess_ppb < kLeastLoanPpb) return;
    const std::int64_t back = std::min(excess_ppb, loan.ppb);
    excess_ppb -= back;
    token_bucket& bucket = limit.bucket;
    bucket.Advance(now);
    const double tokens = bucket.Ppb() > 0
                              ? bucket.Tokens() * static_cast<double>(back) /
                                    static_cast<double>(bucket.Ppb())
                              : 0;
    // Dropped here before the lender can have it.
    const double taken = bucket.TakeTokens(tokens, now);
    loan.ppb -= back;
    loan.number = next_number_++;
    loan.asked_number = 0;
    bucket.SetPart({loan.part_id, loan.ppb, loan.until}, now);
    actions.emplace_back(send_loan_return{
        at->first.second, {workspace, loan.number, loan.ppb, taken}});
  }
}

void loan_book::Ask(const workspace_id& workspace, const entry_ref& lender,
                    std::int64_t more_ppb, double tokens, monotonic_time now,
                    loan_actions& actions) {
  const auto [found, added] =
      borrowed_.try_emplace(peer_key{workspace, lender});
  borrowed_loan& loan = found->second;
  if (added) loan.part_id = next_part_id_++;
  if (loan.until <= now) loan.ppb = 0;
  loan.asked_number = next_number_++;
  loan.asked_at = now;
  loan.asked_duration = settings_.loan;
  loan.asked_tokens = tokens;
  loan.asked_ppb = std::min(loan.ppb + more_ppb, kWholePpb);
  actions.emplace_back(
      send_loan_ask{lender,
                    {workspace, loan.asked_number, loan.asked_ppb, tokens,
                     ToWholeMs(settings_.loan)}});
}

}  // namespace citron
