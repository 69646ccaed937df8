/** Time and waiting, with cancellation by AbortSignal. */

/** Time as the controller's routines see it; tests and the decision trace put a simulated one in its place. */
export interface Clock {
  /** Steady time in milliseconds, for intervals and deadlines. Its zero means nothing. */
  now(): number;
  /** Time of day in milliseconds since the epoch, for what is stored or sent. It may jump. */
  wall(): number;
  /**
   * Resolves after `ms`, later if the event loop lags.
   *
   * @throws AbortedError as soon as the signal is aborted, and at once if it already is.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** A wait or call ended because its signal was aborted: the routine is to end, nothing failed. */
export class AbortedError extends Error {}

/** The clock of the process. */
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

/**
 * Waits like `clock.sleep`, but resolves when the signal is aborted: for loops
 * that check the signal after each wait.
 */
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

/** How late a timer may be that does not count as lagging, in steps. */
const LAG_TOLERANCE_STEPS = 0.5;

/** How long a timer that measures the lag is set to, in steps. */
const PROBE_STEPS = 0.1;

/** A wait for the lag to pass, in multiples of the lag that was measured. */
const LAG_WAIT_FACTOR = 2;

/**
 * Waits until the event loop keeps up again, that is until a timer fires less
 * than half of `stepMs` late. After a failover hundreds of agents send their
 * heartbeats at once, and each has to be answered before its lease runs out:
 * while a small processor lags behind with them, work that the controller
 * could as well do later (commands, scaling) would only make agents time out
 * and come back. That work is delayed by `maxMs` at most.
 *
 * @throws AbortedError once the signal is aborted.
 */
export async function waitWhileLagging(
  clock: Clock,
  stepMs: number,
  maxMs: number,
  signal: AbortSignal,
): Promise<void> {
  const deadline = clock.now() + maxMs;
  for (;;) {
    const dueAt = clock.now() + stepMs * PROBE_STEPS;
    await clock.sleep(stepMs * PROBE_STEPS, signal);
    const lagMs = clock.now() - dueAt;
    if (lagMs < stepMs * LAG_TOLERANCE_STEPS || clock.now() >= deadline) return;
    await clock.sleep(Math.min(lagMs * LAG_WAIT_FACTOR, deadline - clock.now()), signal);
  }
}
