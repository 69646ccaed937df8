import { AbortedError, type Clock } from '../../../src/runtime/clock.js';
import { draw } from './draw.js';

interface Timer {
  at: number;
  order: number;
  run: (() => void) | null;
}

/** Rounds of the event loop after each timer: more than immediates follow on each other. */
const TURNS = 2;
/** Time of day when a history begins. */
const WALL = 1_800_000_000_000;

function comesBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/**
 * Time that passes only when a history is played. Each timer belongs to a
 * host, and all that follows from it is done before the next timer: so the
 * host is known for whatever code of a controller runs. While it is installed, the
 * process's timers, its time of day and its random numbers are played too.
 */
export class PlayedTime implements Clock {
  private time = 1000;
  private made = 0;
  private drawn = 0;
  private drawnAt = 0;
  /** The host to which the code that runs belongs. */
  host = '';
  /** A binary heap, the next timer first. */
  private readonly heap: Timer[] = [];

  constructor(private readonly seed: string) {}

  now(): number {
    return this.time;
  }

  wall(): number {
    return WALL + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new AbortedError());
      const stop = () => {
        timer.run = null;
        reject(new AbortedError());
      };
      const timer = this.later(ms, () => {
        signal?.removeEventListener('abort', stop);
        resolve();
      });
      signal?.addEventListener('abort', stop, { once: true });
    });
  }

  /** Runs the work on the host that asks for it. */
  later(ms: number, work: () => void): Timer {
    return this.laterOn(this.host, ms, work);
  }

  laterOn(host: string, ms: number, work: () => void): Timer {
    const run = () => {
      this.host = host;
      work();
    };
    const timer: Timer = { at: this.time + Math.max(0, ms), order: ++this.made, run };
    this.push(timer);
    return timer;
  }

  /** Plays all that happens up to then. */
  async playUntil(end: number): Promise<void> {
    await settle();
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.pop();
      if (!next.run) continue;
      this.time = Math.max(this.time, next.at);
      next.run();
      await settle();
    }
    this.time = end;
  }

  /** Puts played time in the place of the process's own; returns what takes it back. */
  install(): () => void {
    const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis;
    const own = { now: Date.now, random: Math.random };
    const cancel = (timer: unknown) => {
      if (timer) (timer as Timer).run = null;
    };
    Object.assign(globalThis, {
      setTimeout: (work: () => void, ms = 0) => this.later(ms, work),
      clearTimeout: cancel,
      setInterval: (work: () => void, ms: number) => this.every(ms, work),
      clearInterval: cancel,
    });
    Date.now = () => this.wall();
    Math.random = () => this.random();
    return () => {
      Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval });
      Date.now = own.now;
      Math.random = own.random;
    };
  }

  /** Drawn for the host and moment, so that it does not matter who else draws. */
  private random(): number {
    this.drawn = this.drawnAt === this.time ? this.drawn + 1 : 0;
    this.drawnAt = this.time;
    return draw(this.seed, this.host, this.time, this.drawn);
  }

  private every(ms: number, work: () => void): Timer {
    const timer = this.later(ms, () => {
      work();
      if (!timer.run) return;
      timer.at = this.time + ms;
      this.push(timer);
    });
    return timer;
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let place = heap.push(timer) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!comesBefore(timer, heap[parent] as Timer)) break;
      heap[place] = heap[parent] as Timer;
      place = parent;
    }
    heap[place] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Timer;
    if (heap.length === 0) return;
    let place = 0;
    for (;;) {
      let child = place * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && comesBefore(heap[child + 1] as Timer, heap[child] as Timer))
        child++;
      if (!comesBefore(heap[child] as Timer, last)) break;
      heap[place] = heap[child] as Timer;
      place = child;
    }
    heap[place] = last;
  }
}

/** Lets all that is ready to run do so. */
async function settle(): Promise<void> {
  for (let i = 0; i < TURNS; i++) await new Promise((resolve) => setImmediate(resolve));
}
