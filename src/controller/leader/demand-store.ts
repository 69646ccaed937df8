import type { Change } from '../../protocol/store.js';
import {
  decodeFirstPage,
  decodeLoads,
  encodeFirstPage,
  encodeFurtherPage,
  encodeLoad,
  type StoredLoad,
} from '../../records/demand-record.js';
import { Priority } from '../../runtime/request-budget.js';
import type { Load, Renting } from '../../scheduler/scaling/scale-out.js';
import type { Context } from '../context.js';
import { LEADER_KEY, type Term } from '../election/leader-election.js';
import { retry } from '../retry.js';

const LOADS_KEY = 'loads';
/** The part of a value that a page may fill. */
const PAGE_SHARE = 0.9;
/** What a page takes beside its loads. */
const FRAME_BYTES = 100;

function pageKey(page: number): string {
  return page === 0 ? LOADS_KEY : `${LOADS_KEY}/${page}`;
}

/** Keeps what work is expected for the next leader, which would rent too little otherwise. */
export class Loads {
  /** Jobs up to this version are counted in what is expected. */
  private counted = 0;

  constructor(
    private readonly ctx: Context,
    private readonly term: Term,
    private readonly renting: Renting,
  ) {}

  /** A job has arrived; one that an earlier leader counted is not counted again. */
  arrived(spec: Load['spec'], version: number): void {
    if (version <= this.counted) return;
    this.counted = version;
    this.renting.arrived(spec);
  }

  /** Takes over what the leader before expected. */
  async read(): Promise<void> {
    const first = decodeFirstPage(await this.page(0));
    if (!first) return;
    const { loads, upTo, more } = first;
    for (let page = 1; page <= more; page++)
      loads.push(...(decodeLoads(await this.page(page)) ?? []));
    this.renting.restore(loads);
    this.counted = upTo;
  }

  private async page(page: number): Promise<unknown> {
    const { ctx } = this;
    const entry = await retry(ctx, this.term.signal, (signal) =>
      ctx.state.get(pageKey(page), Priority.lead, signal),
    );
    return entry?.value ?? null;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    while (!signal.aborted) {
      await ctx.clock.sleep(ctx.timing.loadsMs, signal);
      try {
        await ctx.state.transact(
          [{ key: LEADER_KEY, version: this.term.version }],
          this.changes(),
          Priority.progress,
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
    const pages: StoredLoad[][] = [[]];
    let left = room;
    for (const load of this.renting.snapshot().sort((a, b) => b.mean - a.mean)) {
      const stored = encodeLoad(load);
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
      const first = encodeFirstPage(loads, this.counted, pages.length - 1);
      const further = encodeFurtherPage(loads);
      return { op: 'put', key: pageKey(page), value: page === 0 ? first : further };
    });
  }
}
