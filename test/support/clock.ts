import { type Clock, Stopped } from '../../src/duties/clock.js';

interface Sleeper {
  at: number;
  wake: () => void;
}

/** Time that moves only when the test says so. */
export class FakeClock implements Clock {
  private time = 1000;
  private sleepers: Sleeper[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_800_000_000_000 + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new Stopped());
      const stop = () => {
        this.sleepers = this.sleepers.filter((s) => s !== sleeper);
        reject(new Stopped());
      };
      const sleeper: Sleeper = {
        at: this.time + ms,
        wake: () => {
          signal?.removeEventListener('abort', stop);
          resolve();
        },
      };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', stop, { once: true });
    });
  }

  /** Moves time on, waking sleepers in their order and letting each run before the next. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (;;) {
      this.sleepers.sort((a, b) => a.at - b.at);
      const next = this.sleepers[0];
      if (!next || next.at > end) break;
      this.sleepers.shift();
      this.time = Math.max(this.time, next.at);
      next.wake();
      await settle();
    }
    this.time = end;
    await settle();
  }
}

/** Lets all that is ready to run do so. */
export async function settle(): Promise<void> {
  for (let i = 0; i < 20; i++) await new Promise((resolve) => setImmediate(resolve));
}
