/** Time and waiting, with cancellation by AbortSignal. */

/** Source of time for the controller's routines. Tests and the decision trace substitute a simulated clock. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin, for intervals and deadlines. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch, for times that are stored or sent. It may jump. */
  wall(): number;
  /**
   * Resolves after `ms`, or later when the event loop lags.
   *
   * @throws AbortedError when the signal is aborted or already was.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** A wait or call ended because its signal was aborted. It is not a failure; the calling routine must end. */
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
 * Waits like `clock.sleep`, but resolves instead of throwing when the signal is
 * aborted. It is meant for loops that check the signal after each wait.
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

/** Delay of a timer up to which the event loop does not count as lagging, as a share of `stepMs`. */
const LAG_TOLERANCE_STEPS = 0.5;

/** Duration of the timer that measures the lag, as a share of `stepMs`. */
const PROBE_STEPS = 0.1;

/** Wait before the next check, as a multiple of the current lag. */
const LAG_WAIT_RATIO = 2;

/**
 * Waits until the event loop no longer lags: until a timer fires less than half
 * of `stepMs` late, but for about `maxMs` at most.
 *
 * It delays work that is not urgent, such as commands and scaling. After a
 * failover hundreds of agents send their heartbeats concurrently, and each
 * must receive its response before its lease expires. On a small processor other
 * work would make agents time out and reconnect.
 *
 * @throws AbortedError when the signal is aborted.
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
    await clock.sleep(Math.min(lagMs * LAG_WAIT_RATIO, deadline - clock.now()), signal);
  }
}
