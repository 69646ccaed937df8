import { AbortedError, type Clock } from '../../src/runtime/clock.js';

interface Sleeper {
  at: number;
  wake: () => void;
}

/** Time that moves only when the test says so. */
export class FakeClock implements Clock {
  private time = 1000;
  /** The first to wake comes first; among equals, the one that slept first. */
  private readonly sleepers: Sleeper[] = [];

  /** `turns` of the event loop are run after each sleeper: more than any chain of immediates is long. */
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
        const at = this.sleepers.indexOf(sleeper);
        if (at >= 0) this.sleepers.splice(at, 1);
        reject(new AbortedError());
      };
      const sleeper: Sleeper = {
        at: this.time + ms,
        wake: () => {
          signal?.removeEventListener('abort', stop);
          resolve();
        },
      };
      let at = this.sleepers.length;
      while (at > 0 && (this.sleepers[at - 1] as Sleeper).at > sleeper.at) at--;
      this.sleepers.splice(at, 0, sleeper);
      signal?.addEventListener('abort', stop, { once: true });
    });
  }

  /** Moves time on, waking sleepers in their order and letting each run before the next. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle(this.turns);
    for (;;) {
      const next = this.sleepers[0];
      if (!next || next.at > end) break;
      this.sleepers.shift();
      this.time = Math.max(this.time, next.at);
      next.wake();
      await settle(this.turns);
    }
    this.time = end;
    await settle(this.turns);
  }
}

/** Lets all that is ready to run do so. */
export async function settle(turns = 20): Promise<void> {
  for (let i = 0; i < turns; i++) await new Promise((resolve) => setImmediate(resolve));
}
