import type { Priority } from '../clients/budget.js';
import type { Context } from './context.js';
import type { JobStore, LiveRecord } from './job-store.js';

/** What was seen of a job. Ends are final; that it is live counts for a while only. */
type Seen =
  | { state: 'done' | 'cancelled' }
  | { state: 'live'; upstream: readonly string[]; readAt: number };

/** How the jobs that a submission names stand. */
export interface UpstreamStanding {
  /** Never accepted by anybody. */
  missing: string[];
  /** One of them was cancelled, or needs one that was. */
  cancelled: boolean;
  /** Neither done nor cancelled. */
  pending: string[];
}

/** Jobs that are remembered, the least recently read first to go. */
const REMEMBERED = 5000;
/** Jobs read at the same time, and at the most for one question. */
const READS_AT_ONCE = 8;
const MOST_READS = 200;

/** More has to be read than one question may cost; what was read is remembered for the next. */
export class TooManyReads extends Error {}

/**
 * What a node knows of jobs that others need. The leader carries a
 * cancellation to all that needs the job, but it may be away for longer than
 * users may be told otherwise, so a node that is about to call a waiting job
 * queued looks for itself at what that needs.
 */
export class Upstream {
  private readonly seen = new Map<string, Seen>();

  constructor(
    private readonly ctx: Pick<Context, 'clock' | 'timing'>,
    private readonly store: JobStore,
  ) {}

  /** For a submission that names these jobs. */
  async standing(ids: readonly string[], priority: Priority): Promise<UpstreamStanding> {
    const seen = await this.readAll(ids, priority, { left: MOST_READS });
    const missing = ids.filter((_, i) => seen[i] === null);
    const pending = ids.filter((_, i) => seen[i]?.state === 'live');
    let cancelled = seen.some((s) => s?.state === 'cancelled');
    if (missing.length === 0 && !cancelled) cancelled = await this.anyCancelled(pending, priority);
    return { missing, cancelled, pending };
  }

  /** Whether a job that this live one needs, directly or through others, was cancelled. */
  async cancelledAbove(id: string, record: LiveRecord, priority: Priority): Promise<boolean> {
    const ids = await this.store.upstreamOf(id, record, priority);
    return ids !== null && this.anyCancelled(ids, priority);
  }

  private async anyCancelled(ids: readonly string[], priority: Priority): Promise<boolean> {
    const budget = { left: MOST_READS };
    const visited = new Set(ids);
    let level = [...visited];
    while (level.length > 0) {
      const seen = await this.readAll(level, priority, budget);
      level = [];
      for (const s of seen) {
        if (s?.state === 'cancelled') return true;
        if (s?.state !== 'live') continue;
        for (const id of s.upstream) {
          if (visited.has(id)) continue;
          visited.add(id);
          level.push(id);
        }
      }
    }
    return false;
  }

  /** Null for each that was never accepted. */
  private async readAll(
    ids: readonly string[],
    priority: Priority,
    budget: { left: number },
  ): Promise<(Seen | null)[]> {
    const out: (Seen | null)[] = [];
    for (let from = 0; from < ids.length; from += READS_AT_ONCE) {
      const part = ids.slice(from, from + READS_AT_ONCE);
      out.push(...(await Promise.all(part.map((id) => this.read(id, priority, budget)))));
    }
    return out;
  }

  private async read(
    id: string,
    priority: Priority,
    budget: { left: number },
  ): Promise<Seen | null> {
    const { clock, timing } = this.ctx;
    const known = this.seen.get(id);
    const readAt = clock.now();
    if (known && (known.state !== 'live' || readAt - known.readAt < timing.upstreamFreshMs))
      return known;
    if (--budget.left < 0) throw new TooManyReads('too many jobs upstream to look at in one go');
    const job = await this.store.find(id, priority);
    if (!job) return null;
    if (!job.live) return this.remember(id, { state: job.record.state });
    const upstream = (await this.store.upstreamOf(id, job.record, priority)) ?? [];
    return this.remember(id, { state: 'live', upstream, readAt });
  }

  private remember(id: string, seen: Seen): Seen {
    this.seen.delete(id);
    this.seen.set(id, seen);
    if (this.seen.size > REMEMBERED) {
      const oldest = this.seen.keys().next().value;
      if (oldest !== undefined) this.seen.delete(oldest);
    }
    return seen;
  }
}
