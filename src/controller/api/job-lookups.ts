/** Coalesced reads of jobs that users query. */
import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { JobStore, StoredJob } from './job-store.js';

/** A query that waits for the next batch. */
interface PendingLookup {
  resolve(job: StoredJob | null): void;
  reject(error: unknown): void;
}

/**
 * Looks up jobs. Up to SINGLE_READS lookups are read one by one; what is asked
 * for meanwhile waits until one of these ends and is then read in one batch,
 * each job once. So a flood of queries costs requests by the number of jobs
 * that are queried, not of queries.
 *
 * Nothing is cached: each result comes from a read that began after its query,
 * so a query never shows a state from before an end that its user knows of.
 */
export class JobLookups {
  /** Reads in flight, a batch counted as one. */
  private readsInFlight = 0;
  /** By job id. */
  private readonly waiting = new Map<string, PendingLookup[]>();

  constructor(
    private readonly store: Pick<JobStore, 'find' | 'findMany'>,
    private readonly priority: RequestPriority,
  ) {}

  /** The job; null when it was never accepted. Rejects with what its read fails with. */
  find(id: string): Promise<StoredJob | null> {
    if (this.readsInFlight < SINGLE_READS)
      return this.countRead(() => this.store.find(id, this.priority));
    return new Promise((resolve, reject) => {
      const lookups = this.waiting.get(id);
      if (lookups) lookups.push({ resolve, reject });
      else this.waiting.set(id, [{ resolve, reject }]);
    });
  }

  private async countRead<T>(read: () => Promise<T>): Promise<T> {
    this.readsInFlight++;
    try {
      return await read();
    } finally {
      this.readsInFlight--;
      if (this.waiting.size > 0) void this.readBatch();
    }
  }

  /** Reads all jobs that are waited for. Never rejects: a failure goes to each of the lookups. */
  private async readBatch(): Promise<void> {
    const batch = new Map(this.waiting);
    this.waiting.clear();
    try {
      const ids = [...batch.keys()];
      const found = await this.countRead(() => this.store.findMany(ids, this.priority));
      for (const [id, lookups] of batch)
        for (const lookup of lookups) lookup.resolve(found.get(id) ?? null);
    } catch (error) {
      for (const lookups of batch.values()) for (const lookup of lookups) lookup.reject(error);
    }
  }
}
