/**
 * Divides long work into turns of the event loop, so that renewals, heartbeats and
 * queries are answered in between. Whoever uses it must expect that anything may
 * have changed between two items.
 */
import { AbortedError } from '../runtime/clock.js';
import { nextTurn } from '../runtime/next-turn.js';
import { type HoldContext, type MeasuredActivity, measureHold } from './event-loop-hold.js';

/**
 * Steps in one turn: a few milliseconds on a whole core. A step is about a visit of
 * a job or of a dependency, less than a microsecond.
 */
export const STEPS_PER_TURN = 4000;

/** Steps that decoding a record and adding what it describes take. */
export const STEPS_PER_RECORD = 40;

/** Counts the steps of work whose items become known only as it proceeds. */
export class TurnBudget {
  private steps = 0;

  /** Counts steps that were carried out. Waits for the next turn once those of this turn are used up. */
  async spend(steps: number): Promise<void> {
    this.steps += steps;
    if (this.steps < STEPS_PER_TURN) return;
    this.steps = 0;
    await nextTurn();
  }
}

/**
 * Applies `apply`, which returns the steps that it took, to each item in order.
 * Throws `AbortedError` once the signal is aborted; the other items are left out.
 */
export async function applyInTurns<T>(
  ctx: HoldContext,
  activity: MeasuredActivity,
  items: readonly T[],
  apply: (item: T) => number,
  signal?: AbortSignal,
): Promise<void> {
  let next = 0;
  const applyTurn = () => {
    for (let steps = 0; next < items.length && steps < STEPS_PER_TURN; next++)
      steps += apply(items[next] as T);
  };
  while (next < items.length) {
    if (signal?.aborted) throw new AbortedError();
    measureHold(ctx, activity, applyTurn);
    if (next < items.length) await nextTurn();
  }
}
