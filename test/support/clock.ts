import { AbortedError, type Clock } from '../../src/runtime/clock.js';

interface Sleeper {
  /** Time at which the sleep ends, in milliseconds of the clock. */
  wakeAt: number;
  wake: () => void;
}

/** Clock whose time advances only when a test calls `advance`. */
export class FakeClock implements Clock {
  private time = 1000;
  /** Pending sleeps in the order of their wake-up times; equal times in the order of the calls. */
  private readonly sleepers: Sleeper[] = [];

  /** `turns` of the event loop run after each wake-up; it must exceed the longest chain of immediates. */
  constructor(private readonly turns = 20) {}

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_800_000_000_000 + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new AbortedError());
      const stop = () => {
        const index = this.sleepers.indexOf(sleeper);
        if (index >= 0) this.sleepers.splice(index, 1);
        reject(new AbortedError());
      };
      const sleeper: Sleeper = {
        wakeAt: this.time + ms,
        wake: () => {
          signal?.removeEventListener('abort', stop);
          resolve();
        },
      };
      let index = this.sleepers.length;
      while (index > 0 && (this.sleepers[index - 1] as Sleeper).wakeAt > sleeper.wakeAt) index--;
      this.sleepers.splice(index, 0, sleeper);
      signal?.addEventListener('abort', stop, { once: true });
    });
  }

  /** Advances the time, waking sleepers in order and letting each run before the next one wakes. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle(this.turns);
    for (;;) {
      const next = this.sleepers[0];
      if (!next || next.wakeAt > end) break;
      this.sleepers.shift();
      this.time = Math.max(this.time, next.wakeAt);
      next.wake();
      await settle(this.turns);
    }
    this.time = end;
    await settle(this.turns);
  }
}

/** Runs pending work for `turns` turns of the event loop. */
export async function settle(turns = 20): Promise<void> {
  for (let i = 0; i < turns; i++) await new Promise((resolve) => setImmediate(resolve));
}
