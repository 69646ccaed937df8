/** Remembers terminated machines, so that outdated messages don't register them again. */

/**
 * Machines whose termination is proven, so that a delayed duplicate of a
 * heartbeat or an outdated list doesn't register one again.
 *
 * The cloud's list may show a machine for some time after its termination, so
 * ids are retained for a fixed time, however many machines terminate at once.
 *
 * Duplicates of heartbeats may arrive at any later time. Ids increase in the
 * order of creation, so a heartbeat alone registers no machine whose id is not
 * higher than all ids that are no longer retained. A machine that does exist
 * appears in the cloud's list.
 */
export class MachineTombstones {
  /** By machine id, the time in milliseconds when its termination was proven; the earliest first. */
  private readonly terminatedAt = new Map<string, number>();
  /** The highest id that is no longer retained; empty if there is none. */
  private highestExpiredId = '';

  constructor(
    /** How long an id is retained, in milliseconds. */
    private readonly retentionMs: number,
  ) {}

  /** Records that the machine's termination is proven, and drops ids that have expired. */
  add(id: string, now: number): void {
    this.terminatedAt.delete(id);
    this.terminatedAt.set(id, now);
    for (const [oldId, terminatedAt] of this.terminatedAt) {
      if (now - terminatedAt < this.retentionMs) break;
      this.terminatedAt.delete(oldId);
      if (oldId > this.highestExpiredId) this.highestExpiredId = oldId;
    }
  }

  /** Reports whether the machine is known to be terminated; a list that shows it is outdated. */
  has(id: string): boolean {
    return this.terminatedAt.has(id);
  }

  /** Reports whether a heartbeat of an unknown machine may be a duplicate from before its termination. */
  mayBeTerminated(id: string): boolean {
    return this.terminatedAt.has(id) || id <= this.highestExpiredId;
  }

  /** The number of retained ids. */
  get size(): number {
    return this.terminatedAt.size;
  }
}
