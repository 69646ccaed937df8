import { AbortedError, type Clock } from '../../../src/runtime/clock.js';
import { draw } from './draw.js';

interface Timer {
  dueAt: number;
  /** Order of creation, which decides between timers that are due at the same time. */
  sequence: number;
  /** Null when the timer is cancelled. */
  callback: (() => void) | null;
}

/**
 * Number of event loop turns after each timer. It must exceed the length of the
 * longest chain of immediates in the code under test.
 */
const EVENT_LOOP_TURNS = 2;
/** Wall-clock time at which the simulated clock reads 0, in milliseconds since the epoch. */
const WALL_CLOCK_START_MS = 1_800_000_000_000;

function isDueBefore(a: Timer, b: Timer): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}

/**
 * A simulated clock, in milliseconds, that advances only in `runUntil`. Each
 * timer belongs to a host, and all work that follows from it completes before
 * the next timer runs, so `currentHost` is correct for any code that runs.
 * While installed, it also replaces the timers, the wall clock and the random
 * numbers of the process.
 */
export class SimulatedTime implements Clock {
  private currentTime = 1000;
  private timersCreated = 0;
  /** Random numbers drawn earlier at the same time. */
  private drawIndex = 0;
  private lastDrawAt = 0;
  /** The host that owns the code that is running. */
  currentHost = '';
  /** A binary heap with the next timer first. Cancelled timers stay in it until they are due. */
  private readonly heap: Timer[] = [];

  constructor(private readonly seed: string) {}

  now(): number {
    return this.currentTime;
  }

  wall(): number {
    return WALL_CLOCK_START_MS + this.currentTime;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new AbortedError());
      const onAbort = () => {
        timer.callback = null;
        reject(new AbortedError());
      };
      const timer = this.schedule(ms, () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      });
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  }

  /** Runs the callback after `ms` on the current host. */
  schedule(ms: number, callback: () => void): Timer {
    return this.scheduleOn(this.currentHost, ms, callback);
  }

  scheduleOn(host: string, ms: number, task: () => void): Timer {
    const callback = () => {
      this.currentHost = host;
      task();
    };
    const timer: Timer = {
      dueAt: this.currentTime + Math.max(0, ms),
      sequence: ++this.timersCreated,
      callback,
    };
    this.push(timer);
    return timer;
  }

  /** Runs all timers that are due by `endAt`, and the work that follows from them. */
  async runUntil(endAt: number): Promise<void> {
    await drainEventLoop();
    for (let next = this.heap[0]; next && next.dueAt <= endAt; next = this.heap[0]) {
      this.pop();
      if (!next.callback) continue;
      this.currentTime = Math.max(this.currentTime, next.dueAt);
      next.callback();
      await drainEventLoop();
    }
    this.currentTime = endAt;
  }

  /**
   * Replaces the time functions and the random numbers of the process. Returns a
   * function that restores them.
   */
  install(): () => void {
    const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis;
    const original = { now: Date.now, random: Math.random };
    const cancel = (timer: unknown) => {
      if (timer) (timer as Timer).callback = null;
    };
    Object.assign(globalThis, {
      setTimeout: (callback: () => void, ms = 0) => this.schedule(ms, callback),
      clearTimeout: cancel,
      setInterval: (callback: () => void, ms: number) => this.scheduleInterval(ms, callback),
      clearInterval: cancel,
    });
    Date.now = () => this.wall();
    Math.random = () => this.random();
    return () => {
      Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval });
      Date.now = original.now;
      Math.random = original.random;
    };
  }

  /**
   * Returns a number in [0, 1) that depends on the seed, the host, the time and
   * the number of earlier draws at that time. Draws at other times have no effect.
   */
  private random(): number {
    this.drawIndex = this.lastDrawAt === this.currentTime ? this.drawIndex + 1 : 0;
    this.lastDrawAt = this.currentTime;
    return draw(this.seed, this.currentHost, this.currentTime, this.drawIndex);
  }

  private scheduleInterval(ms: number, callback: () => void): Timer {
    const timer = this.schedule(ms, () => {
      callback();
      if (!timer.callback) return;
      timer.dueAt = this.currentTime + ms;
      this.push(timer);
    });
    return timer;
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isDueBefore(timer, heap[parent] as Timer)) break;
      heap[index] = heap[parent] as Timer;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Timer;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isDueBefore(heap[child + 1] as Timer, heap[child] as Timer))
        child++;
      if (!isDueBefore(heap[child] as Timer, last)) break;
      heap[index] = heap[child] as Timer;
      index = child;
    }
    heap[index] = last;
  }
}

/** Runs all ready promise callbacks and immediates. */
async function drainEventLoop(): Promise<void> {
  for (let i = 0; i < EVENT_LOOP_TURNS; i++) await new Promise((resolve) => setImmediate(resolve));
}
