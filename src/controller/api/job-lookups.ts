import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { JobStore, StoredJob } from './job-store.js';

interface PendingLookup {
  resolve(job: StoredJob | null): void;
  reject(error: unknown): void;
}

/**
 * Looks up jobs that users ask about. Questions that come while others are
 * being read wait for those and are then read together, so that their cost
 * grows with the number of jobs, not of questions. Each answer comes from a
 * reading that began after its question.
 */
export class JobLookups {
  private reading = 0;
  private readonly waiting = new Map<string, PendingLookup[]>();

  constructor(
    private readonly store: Pick<JobStore, 'find' | 'findMany'>,
    private readonly priority: RequestPriority,
  ) {}

  find(id: string): Promise<StoredJob | null> {
    if (this.reading < SINGLE_READS) return this.counted(() => this.store.find(id, this.priority));
    return new Promise((resolve, reject) => {
      const others = this.waiting.get(id);
      if (others) others.push({ resolve, reject });
      else this.waiting.set(id, [{ resolve, reject }]);
    });
  }

  private async counted<T>(read: () => Promise<T>): Promise<T> {
    this.reading++;
    try {
      return await read();
    } finally {
      this.reading--;
      if (this.waiting.size > 0) void this.readWaiting();
    }
  }

  private async readWaiting(): Promise<void> {
    const batch = new Map(this.waiting);
    this.waiting.clear();
    try {
      const ids = [...batch.keys()];
      const found = await this.counted(() => this.store.findMany(ids, this.priority));
      for (const [id, asked] of batch) for (const w of asked) w.resolve(found.get(id) ?? null);
    } catch (error) {
      for (const asked of batch.values()) for (const w of asked) w.reject(error);
    }
  }
}
