/** The memory of terminated machines, against late copies of what was true before. */

/**
 * Machines whose termination is proven, so that a late copy of a heartbeat or
 * an older list does not bring one back.
 *
 * The cloud's list may show a machine for some time after its termination, so
 * ids are kept for a fixed time, however many machines end at once. Copies of
 * heartbeats may come at any later time; for those it is enough that ids rise
 * in the order of creation: once ids have been forgotten, a heartbeat alone
 * registers no machine that is not newer than all of these. One that does exist
 * shows in the cloud's list.
 */
export class MachineTombstones {
  /** When each termination was proven, in milliseconds; the earliest first. */
  private readonly terminatedAt = new Map<string, number>();
  /** The highest id that is no longer kept. */
  private newestForgotten = '';

  constructor(
    /** For how long an id is kept. */
    private readonly keepMs: number,
  ) {}

  /** The machine's termination is proven. Drops the ids that have been kept long enough. */
  add(id: string, now: number): void {
    this.terminatedAt.delete(id);
    this.terminatedAt.set(id, now);
    for (const [oldId, terminatedAt] of this.terminatedAt) {
      if (now - terminatedAt < this.keepMs) break;
      this.terminatedAt.delete(oldId);
      if (oldId > this.newestForgotten) this.newestForgotten = oldId;
    }
  }

  /** Whether the machine is known to be terminated: a list that shows it is older than that. */
  has(id: string): boolean {
    return this.terminatedAt.has(id);
  }

  /** Whether a heartbeat of a machine that is not known may be a copy from before its termination. */
  mayBeTerminated(id: string): boolean {
    return this.terminatedAt.has(id) || id <= this.newestForgotten;
  }

  /** How many ids are kept. */
  get size(): number {
    return this.terminatedAt.size;
  }
}
