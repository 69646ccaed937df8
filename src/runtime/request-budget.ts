/**
 * What a request is for; smaller goes first when the budget is short. What
 * leads goes before everything: users who ask without end because nobody
 * leads must not be what keeps anybody from leading. Questions come after the
 * ends of jobs, which are what stops them.
 */
export const Priority = { lead: 0, users: 1, ends: 2, questions: 3, progress: 4 } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * A token bucket that also remembers refusals: a 429 empties it. Lower
 * priorities leave a reserve for higher ones.
 */
export class Budget {
  private tokens: number;
  private last: number;

  constructor(
    private perSecond: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.last = now;
  }

  /** Milliseconds to wait before `count` may be spent; 0 means they were spent. */
  take(count: number, priority: Priority, now: number): number {
    this.refill(now);
    const reserve = Math.min(this.burst * 0.5, this.burst * 0.15 * priority);
    // A transaction larger than the burst could never pass; it runs the bucket into debt instead.
    const need = Math.min(count, this.burst - reserve) + reserve;
    if (this.tokens >= need || priority === Priority.lead) {
      this.tokens -= count;
      return 0;
    }
    return ((need - this.tokens) / this.perSecond) * 1000 + 1;
  }

  /** From now on no more than this, the reserves with it. */
  lower(perSecond: number, now: number): void {
    this.refill(now);
    this.burst = Math.min(this.burst, perSecond);
    this.perSecond = Math.min(this.perSecond, perSecond);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  refused(now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(now: number): void {
    this.tokens = Math.min(
      this.burst,
      this.tokens + (Math.max(0, now - this.last) * this.perSecond) / 1000,
    );
    this.last = now;
  }
}
