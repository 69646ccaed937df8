import { draw } from './draw.js';
import type { PlayedNet, PlayedRequest, Service } from './net.js';

/** A machine as the cloud knows it. */
export interface Cart {
  id: string;
  endpoint: string;
  rig: string;
  hall: string;
  loaner: boolean;
  standing: 'booting' | 'running' | 'failed';
  rentedAt: number;
}

interface Hire {
  hire: string;
  rig: string;
  hall: string;
  loaner: boolean;
  count: number;
}

/** How long a machine of any type takes to boot, in seconds. */
const READY_S = 6;

/** Two types of machines, one of them with accelerators. */
const RIGS = [
  { sku: 'm16', cores: 16, accelerators: 0, memoryGb: 64, rate: 1, spotPrice: 0.3 },
  { sku: 'g8', cores: 8, accelerators: 2, memoryGb: 64, rate: 3, spotPrice: 1.2 },
].map((rig) => ({ ...rig, cacheGb: 50, pullGbPerS: 0.5, readyS: READY_S, halls: ['a', 'b'] }));

const CORES = new Map(RIGS.map((rig) => [rig.sku, rig.cores]));

export function coresOf(rig: string): number {
  return CORES.get(rig) ?? 0;
}

/** Machines in a page of the list. */
const PAGE_CARTS = 6;
const PORT = 9000;
/** A machine that the cloud took shows in the list for so long. */
const LINGER_MS = 9000;

/** The cloud in the wire's words: bounded capacity, slow boots, and faults by script. */
export class PlayedCloud {
  readonly carts = new Map<string, Cart>();
  /** Machines that may be had of a kind at a time. */
  capacity: (rig: string, hall: string, loaner: boolean) => number = () => 6;
  /** Nothing is answered. */
  silent = false;
  /** Rentals and returns that are carried out without an answer. */
  lostAnswers = 0;
  /** Machines that never boot. */
  deadOnArrival = 0;
  refusals = 0;
  /** Machines that were taken and still show in the list. */
  private readonly lingering = new Set<Cart>();
  private made = 0;
  private readonly hired = new Map<string, string[]>();

  constructor(
    private readonly net: PlayedNet,
    private readonly seed: string,
    private readonly onBoot: (cart: Cart) => void,
    private readonly onGone: (id: string, returned: boolean) => void,
  ) {
    net.serve('cloud', 2, (request, respond) => this.handle(request, respond));
  }

  /** The cloud takes a machine back by itself. */
  take(id: string, returned = false): void {
    const cart = this.carts.get(id);
    if (!cart) return;
    this.carts.delete(id);
    if (!returned) {
      this.lingering.add(cart);
      this.net.time.later(LINGER_MS, () => this.lingering.delete(cart));
    }
    this.onGone(id, returned);
  }

  private handle({ method, target, body }: PlayedRequest, respond: Parameters<Service>[1]): void {
    if (this.silent) return;
    const url = new URL(target, 'http://cloud');
    if (url.pathname === '/flavors') {
      respond(200, { rigs: RIGS });
      return;
    }
    if (method === 'GET') {
      respond(200, this.list(url.searchParams.get('after') ?? ''));
      return;
    }
    const what = JSON.stringify(body);
    const lost = draw(this.seed, 'cloud', this.net.time.now(), what) < this.lostAnswers;
    if (url.pathname === '/machines/return') {
      for (const id of (body as { carts: string[] }).carts) this.take(id, true);
      if (!lost) respond(200, {});
      return;
    }
    const hire = body as Hire;
    const carts = this.hired.get(hire.hire) ?? this.hire(hire);
    if (lost) return;
    if (carts.length === 0) {
      this.refusals++;
      respond(503, { error: 'no capacity' });
    } else respond(200, { carts });
  }

  private list(after: string) {
    const now = this.net.time.now();
    const all = [...this.carts.values(), ...this.lingering]
      .filter((c) => c.id > after)
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .map(({ rentedAt, ...cart }) => ({ ...cart, ageS: (now - rentedAt) / 1000 }));
    return { carts: all.slice(0, PAGE_CARTS), hasNext: all.length > PAGE_CARTS };
  }

  private hire({ hire, rig, hall, loaner, count }: Hire): string[] {
    const like = [...this.carts.values()].filter(
      (c) => c.rig === rig && c.hall === hall && c.loaner === loaner,
    );
    const got = Math.min(count, Math.max(0, this.capacity(rig, hall, loaner) - like.length));
    const ids = Array.from({ length: got }, () => this.rent(rig, hall, loaner));
    if (got > 0) this.hired.set(hire, ids);
    return ids;
  }

  private rent(rig: string, hall: string, loaner: boolean): string {
    const { time } = this.net;
    const id = `n-${String(++this.made).padStart(6, '0')}`;
    const endpoint = `${id}:${PORT}`;
    const cart: Cart = {
      id,
      endpoint,
      rig,
      hall,
      loaner,
      standing: 'booting',
      rentedAt: time.now(),
    };
    this.carts.set(id, cart);
    if (draw(this.seed, 'boot', id) < this.deadOnArrival) return id;
    time.later(READY_S * 1000 * (0.7 + 0.6 * draw(this.seed, 'boots', id)), () => {
      if (!this.carts.has(id)) return;
      cart.standing = 'running';
      this.onBoot(cart);
    });
    return id;
  }
}
