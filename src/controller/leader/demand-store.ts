/**
 * Saves the demand forecast for the next leader and restores the forecast that an
 * earlier leader saved. Without it, a new leader would provision too few machines.
 * Owns the keys `loads` and `loads/<page>`, and the version of the newest job that
 * the forecast counts.
 *
 * Serves docs/design.md "Safety" 1: the writes are conditioned on the version of
 * this term's leader key, so an earlier leader can't overwrite the keys.
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
import type { LeaderTerm } from '../election/leader-term.js';
import { retry } from '../retry.js';
import { transactAsLeader } from './leader-transaction.js';

const DEMAND_KEY = 'loads';

/** Bytes reserved in each page for everything but its forecasts. */
const PAGE_OVERHEAD_BYTES = 100;

function pageKey(page: number): string {
  return page === 0 ? DEMAND_KEY : `${DEMAND_KEY}/${page}`;
}

/** Stores the demand forecast of one leader term in the state service. */
export class DemandStore {
  /** Jobs up to this version are already counted in the forecast. */
  private countedVersion = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly scaleOut: ScaleOutPlanner,
  ) {}

  /** Counts a new job in the forecast, unless this or an earlier leader has already counted it. */
  recordArrival(spec: DemandForecast['spec'], version: number): void {
    if (version <= this.countedVersion) return;
    this.countedVersion = version;
    this.scaleOut.recordArrival(spec);
  }

  /**
   * Restores the forecast that an earlier leader saved. Throws `AbortedError` once
   * the term has ended.
   */
  async read(): Promise<void> {
    const first = decodeFirstPage(await this.readPage(0));
    if (!first) return;
    const { loads: forecasts, upTo, more } = first;
    for (let page = 1; page <= more; page++)
      forecasts.push(...(decodeForecasts(await this.readPage(page)) ?? []));
    this.scaleOut.restore(forecasts);
    this.countedVersion = upTo;
  }

  /**
   * Saves the forecast at regular intervals until the signal is aborted. Then returns
   * or throws `AbortedError`.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      await ctx.clock.sleep(ctx.timing.demandSaveIntervalMs, signal);
      try {
        await transactAsLeader(ctx.state, this.term, {
          conditions: [],
          changes: this.pageChanges(),
          priority: RequestPriority.progress,
        });
      } catch (err) {
        if (signal.aborted) return;
        ctx.log.debug({ err }, 'demand forecast write failed; retrying at the next interval');
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

  private pageChanges(): Change[] {
    const pages = this.splitIntoPages();
    return pages.map((forecasts, page) => ({
      op: 'put',
      key: pageKey(page),
      value:
        page === 0
          ? encodeFirstPage(forecasts, this.countedVersion, pages.length - 1)
          : encodeFurtherPage(forecasts),
    }));
  }

  /**
   * Splits the forecasts, largest first, into pages. Drops those that do not fit
   * into the pages that one transaction may write.
   */
  private splitIntoPages(): StoredForecast[][] {
    const { limits } = this.ctx;
    const pageBytes = valueCapacityBytes(limits) - PAGE_OVERHEAD_BYTES;
    const pages: StoredForecast[][] = [[]];
    let freeBytes = pageBytes;
    for (const forecast of this.scaleOut.snapshot().sort((a, b) => b.mean - a.mean)) {
      const stored = encodeForecast(forecast);
      // Adds 1 for the comma after the forecast.
      const bytes = storedBytes(stored) + 1;
      // A forecast that does not fit on any page must not keep the others from being saved.
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
