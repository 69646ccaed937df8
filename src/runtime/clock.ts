/** Time as the duties see it; the tests put a fake one in its place. */
export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  /** Time of day in milliseconds. */
  wall(): number;
  /** Rejects when the signal ends the wait. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

export class AbortedError extends Error {}

export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  sleep(ms, signal) {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new AbortedError());
      const stop = () => {
        clearTimeout(timer);
        reject(new AbortedError());
      };
      const timer = setTimeout(() => {
        signal?.removeEventListener('abort', stop);
        resolve();
      }, ms);
      signal?.addEventListener('abort', stop, { once: true });
    });
  },
};

/** A wait that just ends when the signal does. */
export async function sleepUntilAborted(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  try {
    await clock.sleep(ms, signal);
  } catch (error) {
    if (!(error instanceof AbortedError)) throw error;
  }
}

/**
 * Waits until timers are in time again, by half of `stepMs`. After a takeover
 * hundreds of workers come at once, and each has to be answered before its
 * lease is over: while a small processor is behind with them, work of our own
 * choosing would only make them try elsewhere and come back.
 * It is not put off for longer than `mostMs`.
 */
export async function waitWhileLagging(
  clock: Clock,
  stepMs: number,
  mostMs: number,
  signal: AbortSignal,
): Promise<void> {
  const until = clock.now() + mostMs;
  for (;;) {
    const due = clock.now() + stepMs * 0.1;
    await clock.sleep(stepMs * 0.1, signal);
    const late = clock.now() - due;
    if (late < stepMs * 0.5 || clock.now() >= until) return;
    await clock.sleep(Math.min(late * 2, until - clock.now()), signal);
  }
}
