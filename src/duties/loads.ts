import { Priority } from '../clients/budget.js';
import type { Load, Renting } from '../core/renting.js';
import type { Change } from '../protocol/store.js';
import { isObject } from '../protocol/wire.js';
import type { Context } from './context.js';
import { LEADER_KEY, type Term } from './leadership.js';
import { retry } from './retry.js';

const LOADS_KEY = 'loads';
/** The part of a value that a page may fill. */
const PAGE_SHARE = 0.9;
/** What a page takes beside its loads. */
const FRAME_BYTES = 100;

/** What work is expected, as the state service keeps it. Earlier versions have the first page alone. */
interface FirstPage {
  loads: Load[];
  /** The version of the newest job that is counted in it. */
  upTo: number;
  /** Further pages, each under a key of its own. */
  more?: number;
}

interface FurtherPage {
  loads: Load[];
}

function pageKey(page: number): string {
  return page === 0 ? LOADS_KEY : `${LOADS_KEY}/${page}`;
}

function loadsOf(value: unknown): Load[] {
  return isObject(value) && Array.isArray(value.loads) ? (value.loads as Load[]) : [];
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
    const first = await this.page(0);
    if (!isObject(first) || !Array.isArray(first.loads)) return;
    const { upTo, more = 0 } = first as unknown as FirstPage;
    const loads = [...loadsOf(first)];
    for (let page = 1; page <= more; page++) loads.push(...loadsOf(await this.page(page)));
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
    const pages: Load[][] = [[]];
    let left = room;
    for (const load of this.renting.snapshot().sort((a, b) => b.mean - a.mean)) {
      const bytes = Buffer.byteLength(JSON.stringify(load)) + 1;
      if (bytes > room) continue;
      if (bytes > left) {
        if (pages.length === most) break;
        pages.push([]);
        left = room;
      }
      left -= bytes;
      pages.at(-1)?.push(load);
    }
    return pages.map((loads, page) => {
      const first: FirstPage = { loads, upTo: this.counted, more: pages.length - 1 };
      const further: FurtherPage = { loads };
      return { op: 'put', key: pageKey(page), value: page === 0 ? first : further };
    });
  }
}
