import { RequestRefusedError } from '../clients/key-value-store.js';
import { AbortedError } from '../runtime/clock.js';
import type { ControllerContext } from './context.js';

/** The first pause after a failed call, in renewal intervals; it doubles up to the longest one. */
const FIRST_PAUSE = 0.15;
const LONGEST_PAUSE = 2;
/** Pauses are spread from this share of their length over the following range. */
const JITTER_FROM = 0.7;
const JITTER_RANGE = 0.6;

/** Repeats a call until it is answered; throws Stopped once the signal is aborted. */
export async function retry<T>(
  ctx: ControllerContext,
  signal: AbortSignal,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  for (let tries = 0; ; tries++) {
    try {
      return await call(signal);
    } catch (error) {
      if (signal.aborted) throw new AbortedError();
      const wait = ctx.timing.renewMs * Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** tries);
      const hint = error instanceof RequestRefusedError ? Math.min(error.retryMs, wait) : wait;
      ctx.log.debug({ error: String((error as Error).message) }, 'call repeated');
      await ctx.clock.sleep(hint * (JITTER_FROM + Math.random() * JITTER_RANGE), signal);
    }
  }
}
