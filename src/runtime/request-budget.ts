/**
 * What a request is for; smaller goes first when the budget is short. What
 * leads goes before everything: users who ask without end because nobody
 * leads must not be what keeps anybody from leading. Questions come after the
 * ends of jobs, which are what stops them.
 */
export const RequestPriority = { lead: 0, users: 1, ends: 2, questions: 3, progress: 4 } as const;
export type RequestPriority = (typeof RequestPriority)[keyof typeof RequestPriority];

/**
 * A token bucket that also remembers refusals: a 429 empties it. Lower
 * priorities leave a reserve for higher ones.
 */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private perSecond: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now;
  }

  /** Milliseconds to wait before `count` may be spent; 0 means they were spent. */
  take(count: number, priority: RequestPriority, now: number): number {
    this.refill(now);
    const reserve = Math.min(this.burst * 0.5, this.burst * 0.15 * priority);
    // A transaction larger than the burst could never pass; it runs the bucket into debt instead.
    const need = Math.min(count, this.burst - reserve) + reserve;
    if (this.tokens >= need || priority === RequestPriority.lead) {
      this.tokens -= count;
      return 0;
    }
    return ((need - this.tokens) / this.perSecond) * 1000 + 1;
  }

  /** From now on no more than this, the reserves with it. */
  lowerRate(perSecond: number, now: number): void {
    this.refill(now);
    this.burst = Math.min(this.burst, perSecond);
    this.perSecond = Math.min(this.perSecond, perSecond);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  recordRefusal(now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(now: number): void {
    this.tokens = Math.min(
      this.burst,
      this.tokens + (Math.max(0, now - this.refilledAt) * this.perSecond) / 1000,
    );
    this.refilledAt = now;
  }
}
