/**
 * Removes stored dependency lists whose job has ended or was never accepted. Owns
 * the times at which lists were first found without a live job; deletes `lists/`
 * and `needs/` keys. Each removal begins on the condition that the job is not live.
 *
 * A list without a live job is kept for `orphanListRetentionMs`, because the submission that
 * wrote it may still be in progress and would have to start over.
 */
import { readPrefix } from '../../clients/key-ranges.js';
import type { Entry } from '../../protocol/key-value-protocol.js';
import { decodeDependencyListHeader } from '../../records/dependency-list-record.js';
import { DEPENDENCY_LIST_HEADER_PREFIX } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import { sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import { DependencyLists } from '../api/dependency-lists.js';
import type { ControllerContext } from '../context.js';

/** Cleans up dependency lists for one leader term. */
export class DependencyListCleaner {
  private readonly lists: DependencyLists;
  /**
   * Time at which a list was first found without a live job, in milliseconds on the
   * monotonic clock, by the key of its header.
   */
  private readonly orphanedSince = new Map<string, number>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly liveJobs: Pick<ReadonlyMap<string, unknown>, 'has'>,
  ) {
    this.lists = new DependencyLists(ctx);
  }

  /** Removes orphaned lists at regular intervals; resolves when the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing, log } = this.ctx;
    while (!signal.aborted) {
      await sleepUntilAborted(clock, timing.agentLeaseMs, signal);
      try {
        await this.removeOrphans(signal);
      } catch (err) {
        if (signal.aborted) return;
        log.debug({ err }, 'dependency list cleanup failed; retrying at the next interval');
      }
    }
  }

  private async removeOrphans(signal: AbortSignal): Promise<void> {
    const { state } = this.ctx;
    const headers = await readPrefix(
      state,
      DEPENDENCY_LIST_HEADER_PREFIX,
      RequestPriority.progress,
      signal,
    );
    this.forgetRemoved(headers);
    for (const { key, value, version } of headers) {
      const [jobId = '', token = ''] = key.slice(DEPENDENCY_LIST_HEADER_PREFIX.length).split('/');
      if (!this.isDueForRemoval(key, jobId)) continue;
      const header = mapIfObject(value, decodeDependencyListHeader);
      const list = { jobId, token, version, header };
      await this.lists.remove(list, RequestPriority.progress, signal);
    }
  }

  private forgetRemoved(headers: readonly Entry[]): void {
    const existing = new Set(headers.map((entry) => entry.key));
    for (const key of this.orphanedSince.keys())
      if (!existing.has(key)) this.orphanedSince.delete(key);
  }

  /**
   * Records when the list was first found without a live job; returns true once
   * that is at least `orphanListRetentionMs` ago. Forgets that time while the job is live.
   */
  private isDueForRemoval(headerKey: string, jobId: string): boolean {
    const { clock, timing } = this.ctx;
    if (this.liveJobs.has(jobId)) {
      this.orphanedSince.delete(headerKey);
      return false;
    }
    const now = clock.now();
    const since = this.orphanedSince.get(headerKey);
    if (since === undefined) {
      this.orphanedSince.set(headerKey, now);
      return false;
    }
    return now - since >= timing.orphanListRetentionMs;
  }
}
