/** Retries calls to the state service and the cloud that a leader term depends on. */
import { RequestRefusedError } from '../clients/key-value-store.js';
import { AbortedError } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/** Pause after the first failed call, in renewal intervals. It doubles with each failure up to the longest pause. */
const FIRST_PAUSE_INTERVALS = 0.15;
const LONGEST_PAUSE_INTERVALS = 2;

/** Jitter: each pause is multiplied by a random factor from JITTER_MIN_FACTOR to JITTER_MIN_FACTOR + JITTER_RANGE. */
const JITTER_MIN_FACTOR = 0.7;
const JITTER_RANGE = 0.6;

/**
 * Retries a call until it succeeds, with exponential back-off and jitter. The retry
 * time in a refusal may shorten the pause but never lengthens it: a leader must not
 * wait longer than its own back-off.
 *
 * @throws AbortedError when the signal is aborted; no other error.
 */
export async function retry<T>(
  ctx: ControllerContext,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  for (let failures = 0; ; failures++) {
    try {
      return await call(signal);
    } catch (err) {
      if (signal.aborted) throw new AbortedError();
      const backoffMs =
        ctx.timing.renewalIntervalMs *
        Math.min(LONGEST_PAUSE_INTERVALS, FIRST_PAUSE_INTERVALS * 2 ** failures);
      const pauseMs =
        err instanceof RequestRefusedError ? Math.min(err.retryMs, backoffMs) : backoffMs;
      ctx.log.debug({ err }, 'state service or cloud call failed; retrying after a pause');
      await ctx.clock.sleep(pauseMs * (JITTER_MIN_FACTOR + Math.random() * JITTER_RANGE), signal);
    }
  }
}
