/** Client-side rate limits, shared by requests of different priorities. */

/**
 * Priority of a request. Smaller numbers take precedence when the budget is
 * short.
 *
 * - `leadership`: election, lease renewal, failover and watches. It has the
 *   highest priority, so that users who retry their requests while
 *   there is no leader cannot prevent an election.
 * - `submissions`: users' submissions and cancellations, and requests to the
 *   cloud other than the machine list.
 * - `completions`: requests that make the ends of jobs and tasks durable or
 *   known. Also those for the roster, dependency lists, mailbox messages and the
 *   machine list.
 * - `queries`: users' queries. They rank after completions, since users stop
 *   querying a job once its end is known.
 * - `progress`: work that can be delayed, such as the demand forecast and
 *   clean-up.
 */
export const RequestPriority = {
  leadership: 0,
  submissions: 1,
  completions: 2,
  queries: 3,
  progress: 4,
} as const;
/** One of the values of `RequestPriority`. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/**
 * A priority leaves this share of the burst, times its number, to higher
 * priorities.
 */
const RESERVE_SHARE_PER_PRIORITY = 0.15;
/** Maximum share of the burst that a priority leaves to higher ones. */
const MAX_RESERVE_SHARE = 0.5;

/** Added to each wait, so that rounding does not end it before the tokens are available. */
const ROUNDING_MARGIN_MS = 1;

/**
 * A token bucket. A refusal by the service (429) empties it. Lower priorities
 * leave a reserve of tokens for higher ones. The `leadership` priority never
 * waits and may overdraw the bucket. All times are in milliseconds
 * on the monotonic clock.
 */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;

  /** Creates a full bucket of `burst` tokens that refills at `tokensPerS`. */
  constructor(
    private tokensPerS: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now;
  }

  /**
   * Acquires `count` tokens and returns 0, or acquires none and returns the time
   * to wait before trying again, in milliseconds.
   */
  tryAcquire(count: number, priority: RequestPriority, now: number): number {
    this.refill(now);
    const reserve = Math.min(
      this.burst * MAX_RESERVE_SHARE,
      this.burst * RESERVE_SHARE_PER_PRIORITY * priority,
    );
    // More tokens than the burst are never available; such a request overdraws the bucket instead.
    const needed = Math.min(count, this.burst - reserve) + reserve;
    if (this.tokens >= needed || priority === RequestPriority.leadership) {
      this.tokens -= count;
      return 0;
    }
    return ((needed - this.tokens) / this.tokensPerS) * 1000 + ROUNDING_MARGIN_MS;
  }

  /** Lowers the rate, and the burst with its reserves, to at most `tokensPerS`. Never raises either. */
  lowerRate(tokensPerS: number, now: number): void {
    this.refill(now);
    this.burst = Math.min(this.burst, tokensPerS);
    this.tokensPerS = Math.min(this.tokensPerS, tokensPerS);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  /** Empties the bucket after the service refused a request: by its own count, the rate is used up. */
  recordRefusal(now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(now: number): void {
    this.tokens = Math.min(
      this.burst,
      this.tokens + (Math.max(0, now - this.refilledAt) * this.tokensPerS) / 1000,
    );
    this.refilledAt = now;
  }
}
