/**
 * Machines that are proven gone, so that a late copy of a report, or a list
 * from before, does not bring one back.
 *
 * A list may show a machine for some time after it has gone, so names are kept
 * for a fixed time, however many go at once. Copies of reports may come at any
 * later time; for those it is enough that machines are named in the order of
 * their creation: once names have been forgotten, a report alone makes no
 * machine known that is not newer than all of these. One that does exist shows
 * in the cloud's list.
 */
export class MachineTombstones {
  /** When each went; the longest gone first. */
  private readonly terminatedAt = new Map<string, number>();
  private newestForgotten = '';

  constructor(private readonly keepMs: number) {}

  add(id: string, now: number): void {
    this.terminatedAt.delete(id);
    this.terminatedAt.set(id, now);
    for (const [old, at] of this.terminatedAt) {
      if (now - at < this.keepMs) break;
      this.terminatedAt.delete(old);
      if (old > this.newestForgotten) this.newestForgotten = old;
    }
  }

  has(id: string): boolean {
    return this.terminatedAt.has(id);
  }

  /** A report of a machine that nothing else tells of may be a copy from before it went. */
  mayBeTerminated(id: string): boolean {
    return this.terminatedAt.has(id) || id <= this.newestForgotten;
  }

  get size(): number {
    return this.terminatedAt.size;
  }
}
