import { readPrefix } from '../../clients/key-ranges.js';
import { decodeDependencyListHeader } from '../../records/dependency-list-record.js';
import { LIST_HEADER_PREFIX } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import { sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import { DependencyLists } from '../api/dependency-lists.js';
import type { ControllerContext } from '../context.js';

/**
 * Removes lists of upstream jobs whose job has ended or was never accepted. A
 * list is left alone while its job is live, and for a while after it was first
 * seen without: its submission may be under way.
 */
export class DependencyListCleaner {
  private readonly lists: DependencyLists;
  /** Since when a list stands without its job, by the header's key. */
  private readonly orphanSince = new Map<string, number>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly liveJobs: Pick<ReadonlyMap<string, unknown>, 'has'>,
  ) {
    this.lists = new DependencyLists(ctx);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing, log } = this.ctx;
    while (!signal.aborted) {
      await sleepUntilAborted(clock, timing.agentLeaseMs, signal);
      try {
        await this.removeOrphans(signal);
      } catch (error) {
        if (signal.aborted) return;
        log.debug({ error: String((error as Error).message) }, 'upstream lists not cleaned');
      }
    }
  }

  private async removeOrphans(signal: AbortSignal): Promise<void> {
    const { clock, timing, state } = this.ctx;
    const headers = await readPrefix(state, LIST_HEADER_PREFIX, RequestPriority.progress, signal);
    const standing = new Set(headers.map((entry) => entry.key));
    for (const key of this.orphanSince.keys()) if (!standing.has(key)) this.orphanSince.delete(key);
    for (const { key, value, version } of headers) {
      const [job = '', token = ''] = key.slice(LIST_HEADER_PREFIX.length).split('/');
      if (this.liveJobs.has(job)) {
        this.orphanSince.delete(key);
        continue;
      }
      const now = clock.now();
      const since = this.orphanSince.get(key);
      if (since === undefined) this.orphanSince.set(key, now);
      else if (now - since >= timing.orphanListMs) {
        const header = mapIfObject(value, decodeDependencyListHeader);
        const list = { jobId: job, token, version, header };
        await this.lists.remove(list, RequestPriority.progress, signal);
      }
    }
  }
}
