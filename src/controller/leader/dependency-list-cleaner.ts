/**
 * Removes stored dependency lists whose job has ended or was never accepted.
 * Owns the times since when a list has had no live job; deletes `lists/` and
 * `needs/` keys, each removal on the condition that its job is not live.
 *
 * A list without a job is left for a while: the submission that wrote it may
 * still be in progress and would have to begin anew.
 */
import { readPrefix } from '../../clients/key-ranges.js';
import type { Entry } from '../../protocol/key-value-protocol.js';
import { decodeDependencyListHeader } from '../../records/dependency-list-record.js';
import { LIST_HEADER_PREFIX } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import { sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import { DependencyLists } from '../api/dependency-lists.js';
import type { ControllerContext } from '../context.js';

/** Cleans up dependency lists for one leader term. */
export class DependencyListCleaner {
  private readonly lists: DependencyLists;
  /** Since when a list has had no live job (clock time in ms), by the key of its header. */
  private readonly orphanSince = new Map<string, number>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly liveJobs: Pick<ReadonlyMap<string, unknown>, 'has'>,
  ) {
    this.lists = new DependencyLists(ctx);
  }

  /** Looks for orphaned lists at regular intervals until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing, log } = this.ctx;
    while (!signal.aborted) {
      await sleepUntilAborted(clock, timing.agentLeaseMs, signal);
      try {
        await this.removeOrphans(signal);
      } catch (err) {
        if (signal.aborted) return;
        log.debug({ err }, 'dependency lists not cleaned');
      }
    }
  }

  private async removeOrphans(signal: AbortSignal): Promise<void> {
    const { state } = this.ctx;
    const headers = await readPrefix(state, LIST_HEADER_PREFIX, RequestPriority.progress, signal);
    this.forgetRemoved(headers);
    for (const { key, value, version } of headers) {
      const [jobId = '', token = ''] = key.slice(LIST_HEADER_PREFIX.length).split('/');
      if (!this.isDueForRemoval(key, jobId)) continue;
      const header = mapIfObject(value, decodeDependencyListHeader);
      const list = { jobId, token, version, header };
      await this.lists.remove(list, RequestPriority.progress, signal);
    }
  }

  private forgetRemoved(headers: readonly Entry[]): void {
    const existing = new Set(headers.map((entry) => entry.key));
    for (const key of this.orphanSince.keys()) if (!existing.has(key)) this.orphanSince.delete(key);
  }

  /** Notes since when the list has had no live job; true once that is long enough. */
  private isDueForRemoval(headerKey: string, jobId: string): boolean {
    const { clock, timing } = this.ctx;
    if (this.liveJobs.has(jobId)) {
      this.orphanSince.delete(headerKey);
      return false;
    }
    const now = clock.now();
    const since = this.orphanSince.get(headerKey);
    if (since === undefined) {
      this.orphanSince.set(headerKey, now);
      return false;
    }
    return now - since >= timing.orphanListMs;
  }
}
