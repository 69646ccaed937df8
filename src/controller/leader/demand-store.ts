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
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ScaleOutPlanner } from '../../scheduler/scaling/scale-out.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY } from '../election/leader-key.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { retry } from '../retry.js';

const DEMAND_KEY = 'loads';
/** The part of a value that a page may fill. */
const PAGE_SHARE = 0.9;
/** What a page takes beside its loads. */
const FRAME_BYTES = 100;

function pageKey(page: number): string {
  return page === 0 ? DEMAND_KEY : `${DEMAND_KEY}/${page}`;
}

/** Keeps what work is expected for the next leader, which would rent too little otherwise. */
export class DemandStore {
  /** Jobs up to this version are counted in what is expected. */
  private countedVersion = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly scaleOut: ScaleOutPlanner,
  ) {}

  /** A job has arrived; one that an earlier leader counted is not counted again. */
  recordArrival(spec: DemandForecast['spec'], version: number): void {
    if (version <= this.countedVersion) return;
    this.countedVersion = version;
    this.scaleOut.recordArrival(spec);
  }

  /** Takes over what the leader before expected. */
  async read(): Promise<void> {
    const first = decodeFirstPage(await this.page(0));
    if (!first) return;
    const { loads, upTo, more } = first;
    for (let page = 1; page <= more; page++)
      loads.push(...(decodeForecasts(await this.page(page)) ?? []));
    this.scaleOut.restore(loads);
    this.countedVersion = upTo;
  }

  private async page(page: number): Promise<unknown> {
    const { ctx } = this;
    const entry = await retry(ctx, this.term.signal, (signal) =>
      ctx.state.get(pageKey(page), RequestPriority.lead, signal),
    );
    return entry?.value ?? null;
  }

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
      } catch (error) {
        if (signal.aborted) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'loads not kept');
      }
    }
  }

  /** As many pages as one transaction takes, the largest loads first. */
  private changes(): Change[] {
    const { valueBytes, changes: most } = this.ctx.limits;
    const room = valueBytes * PAGE_SHARE - FRAME_BYTES;
    const pages: StoredForecast[][] = [[]];
    let left = room;
    for (const forecast of this.scaleOut.snapshot().sort((a, b) => b.mean - a.mean)) {
      const stored = encodeForecast(forecast);
      const bytes = Buffer.byteLength(JSON.stringify(stored)) + 1;
      if (bytes > room) continue;
      if (bytes > left) {
        if (pages.length === most) break;
        pages.push([]);
        left = room;
      }
      left -= bytes;
      pages.at(-1)?.push(stored);
    }
    return pages.map((loads, page) => {
      const first = encodeFirstPage(loads, this.countedVersion, pages.length - 1);
      const further = encodeFurtherPage(loads);
      return { op: 'put', key: pageKey(page), value: page === 0 ? first : further };
    });
  }
}
