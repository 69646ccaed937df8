/** Coalesces reads of jobs for user queries. */
import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { JobStore, StoredJob } from './job-store.js';

/** A query waiting for the next batch. */
interface PendingLookup {
  resolve(job: StoredJob | null): void;
  reject(error: unknown): void;
}

/**
 * Looks up jobs. Up to SINGLE_READS lookups are read individually and
 * concurrently. Further ones wait until one of these reads ends and are then read
 * in one batch, each job once. So the number of requests depends on how many jobs are
 * queried, not on how many queries arrive.
 *
 * Nothing is cached: each result comes from a read that began after its query,
 * so a query never returns a state older than an end that its user has seen.
 */
export class JobLookups {
  /** Number of reads in flight; a batch counts as one. */
  private readsInFlight = 0;
  /** Lookups waiting for the next batch, by job id. */
  private readonly waiting = new Map<string, PendingLookup[]>();

  constructor(
    private readonly store: Pick<JobStore, 'find' | 'findMany'>,
    private readonly priority: RequestPriority,
  ) {}

  /** Returns the job; null when it was never accepted. Rejects with the error of a failed read. */
  find(id: string): Promise<StoredJob | null> {
    if (this.readsInFlight < SINGLE_READS)
      return this.trackRead(() => this.store.find(id, this.priority));
    return new Promise((resolve, reject) => {
      const lookups = this.waiting.get(id);
      if (lookups) lookups.push({ resolve, reject });
      else this.waiting.set(id, [{ resolve, reject }]);
    });
  }

  private async trackRead<T>(read: () => Promise<T>): Promise<T> {
    this.readsInFlight++;
    try {
      return await read();
    } finally {
      this.readsInFlight--;
      if (this.waiting.size > 0) void this.readBatch();
    }
  }

  /** Reads all waiting jobs in one batch. Never rejects; a failure rejects each of the lookups. */
  private async readBatch(): Promise<void> {
    const batch = new Map(this.waiting);
    this.waiting.clear();
    try {
      const ids = [...batch.keys()];
      const found = await this.trackRead(() => this.store.findMany(ids, this.priority));
      for (const [id, lookups] of batch)
        for (const lookup of lookups) lookup.resolve(found.get(id) ?? null);
    } catch (error) {
      for (const lookups of batch.values()) for (const lookup of lookups) lookup.reject(error);
    }
  }
}
