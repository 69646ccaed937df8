/** Client-side rate limits, shared by requests of different urgency. */

/**
 * What a request is for; a smaller number goes first when the budget is short.
 *
 * - `lead`: election, lease renewal, failover and the watch of jobs. Before
 *   everything: users who repeat their requests because nobody leads must not
 *   be what keeps anybody from leading.
 * - `users`: submissions and cancellations; calls to the cloud.
 * - `ends`: what makes the ends of jobs and tasks durable or known, and mailbox messages.
 * - `questions`: users' queries. After the ends of jobs, which are what stops
 *   users from asking about them.
 * - `progress`: what may come late, such as the demand forecast and clean-up.
 */
export const RequestPriority = {
  leadership: 0,
  submissions: 1,
  completions: 2,
  queries: 3,
  progress: 4,
} as const;
/** One of the priorities. */
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/** The share of the burst that each step of priority leaves to the higher ones, and the largest such reserve. */
const RESERVE_SHARE_PER_PRIORITY = 0.15;
const MAX_RESERVE_SHARE = 0.5;

/** Added to a wait, so that the tokens are there when it ends in spite of rounding. */
const ROUNDING_MARGIN_MS = 1;

/**
 * A token bucket that also remembers refusals: a 429 empties it. Lower
 * priorities leave a reserve of tokens for higher ones, and `lead` never waits
 * (it may take the bucket into debt). Times are of the steady clock, in
 * milliseconds.
 */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;

  /** A full bucket of `burst` tokens that refills by `perSecond`. */
  constructor(
    private tokensPerS: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now;
  }

  /**
   * Spends `count` tokens and returns 0, or spends none and returns the
   * milliseconds to wait before trying again.
   */
  take(count: number, priority: RequestPriority, now: number): number {
    this.refill(now);
    const reserve = Math.min(
      this.burst * MAX_RESERVE_SHARE,
      this.burst * RESERVE_SHARE_PER_PRIORITY * priority,
    );
    // A transaction larger than the burst could never pass; it runs the bucket into debt instead.
    const needed = Math.min(count, this.burst - reserve) + reserve;
    if (this.tokens >= needed || priority === RequestPriority.leadership) {
      this.tokens -= count;
      return 0;
    }
    return ((needed - this.tokens) / this.tokensPerS) * 1000 + ROUNDING_MARGIN_MS;
  }

  /** From now on no more than this rate, nor a larger burst; the reserves shrink with it. Never raises either. */
  lowerRate(tokensPerS: number, now: number): void {
    this.refill(now);
    this.burst = Math.min(this.burst, tokensPerS);
    this.tokensPerS = Math.min(this.tokensPerS, tokensPerS);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  /** The service refused a request for its rate: what it counts is used up, whatever was counted here. */
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
