/**
 * Saves the demand forecast for the next leader, which would provision too
 * little without it, and restores what the last leader saved. Owns the keys
 * `loads` and `loads/<page>`, and the version of the newest job that the
 * forecast counts.
 *
 * Serves docs/design.md "Safety" 1: the keys are written over the version of
 * this term's leader key, so a former leader can't overwrite them.
 */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { Change } from '../../protocol/key-value-protocol.js';
import {
  decodeFirstPage,
  decodeForecasts,
  encodeFirstPage,
  encodeForecast,
  encodeFurtherPage,
  type StoredForecast,
} from '../../records/demand-record.js';
import { storedBytes, valueCapacityBytes } from '../../records/value-sizes.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY } from '../election/leader-key.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { retry } from '../retry.js';

const DEMAND_KEY = 'loads';

/** Bytes of a page besides its forecasts. */
const FRAME_BYTES = 100;

function pageKey(page: number): string {
  return page === 0 ? DEMAND_KEY : `${DEMAND_KEY}/${page}`;
}

/** The demand forecast of one leader term in the state service. */
export class DemandStore {
  /** Jobs up to this version are counted in the forecast. */
  private countedVersion = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly scaleOut: ScaleOutPlanner,
  ) {}

  /** A job has arrived; one that an earlier leader has counted is not counted again. */
  recordArrival(spec: DemandForecast['spec'], version: number): void {
    if (version <= this.countedVersion) return;
    this.countedVersion = version;
    this.scaleOut.recordArrival(spec);
  }

  /** Restores the forecast that the last leader saved. Throws `AbortedError` once the term has ended. */
  async read(): Promise<void> {
    const first = decodeFirstPage(await this.readPage(0));
    if (!first) return;
    const { loads: forecasts, upTo, more } = first;
    for (let page = 1; page <= more; page++)
      forecasts.push(...(decodeForecasts(await this.readPage(page)) ?? []));
    this.scaleOut.restore(forecasts);
    this.countedVersion = upTo;
  }

  /** Saves the forecast at regular intervals; throws `AbortedError` when the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      await ctx.clock.sleep(ctx.timing.demandSaveMs, signal);
      try {
        await ctx.state.transact(
          [{ key: LEADER_KEY, version: this.term.version }],
          this.changes(),
          RequestPriority.progress,
          signal,
        );
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug({ err }, 'demand forecast not saved');
      }
    }
  }

  private async readPage(page: number): Promise<unknown> {
    const { ctx } = this;
    const entry = await retry(ctx, this.term.signal, (signal) =>
      ctx.state.get(pageKey(page), RequestPriority.leadership, signal),
    );
    return entry?.value ?? null;
  }

  private changes(): Change[] {
    const pages = this.pages();
    return pages.map((forecasts, page) => ({
      op: 'put',
      key: pageKey(page),
      value:
        page === 0
          ? encodeFirstPage(forecasts, this.countedVersion, pages.length - 1)
          : encodeFurtherPage(forecasts),
    }));
  }

  /** The forecasts, the largest first, in as many pages as one transaction takes; the rest is left out. */
  private pages(): StoredForecast[][] {
    const { limits } = this.ctx;
    const pageBytes = valueCapacityBytes(limits) - FRAME_BYTES;
    const pages: StoredForecast[][] = [[]];
    let freeBytes = pageBytes;
    for (const forecast of this.scaleOut.snapshot().sort((a, b) => b.mean - a.mean)) {
      const stored = encodeForecast(forecast);
      // With the comma that follows it.
      const bytes = storedBytes(stored) + 1;
      // One that fits no page must not keep the others from being saved.
      if (bytes > pageBytes) continue;
      if (bytes > freeBytes) {
        if (pages.length === limits.changes) break;
        pages.push([]);
        freeBytes = pageBytes;
      }
      freeBytes -= bytes;
      pages.at(-1)?.push(stored);
    }
    return pages;
  }
}
