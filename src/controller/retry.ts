/** Repeats calls to the state service or the cloud that a term can't do without. */
import { RequestRefusedError } from '../clients/key-value-store.js';
import { AbortedError } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/** The pause after the first failed call, in renewal intervals; it doubles with each up to the longest one. */
const FIRST_PAUSE = 0.15;
const LONGEST_PAUSE = 2;

/** Pauses are spread by chance, from this share of their length over the following range. */
const JITTER_FROM = 0.7;
const JITTER_RANGE = 0.6;

/**
 * Repeats a call until it succeeds, with exponential back-off and jitter. A
 * refusal that says when to come back shortens the pause, but never lengthens
 * it: a leader must not wait longer than its own back-off.
 *
 * @throws AbortedError once the signal is aborted; no other error.
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
      const backoffMs = ctx.timing.renewMs * Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** failures);
      const pauseMs =
        err instanceof RequestRefusedError ? Math.min(err.retryMs, backoffMs) : backoffMs;
      ctx.log.debug({ err }, 'call failed, retrying');
      await ctx.clock.sleep(pauseMs * (JITTER_FROM + Math.random() * JITTER_RANGE), signal);
    }
  }
}
