/**
 * Runs the long-lived routines of one leader term. Owns no state. A routine
 * that fails for an unexpected reason ends the whole term: a leader without one
 * of its routines would hold its lease and leave that work undone, while
 * another controller could do it.
 */
import { AbortedError } from '../../runtime/clock.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';

/** A routine that runs until the signal of its term is aborted. */
export interface LeaderRoutine {
  /** The name used in the log. */
  name: string;
  run(signal: AbortSignal): Promise<void>;
}

/** Resolves when the term and all routines have ended. Never rejects. */
export function runUntilTermEnds(
  ctx: ControllerContext,
  term: LeaderTerm,
  routines: readonly LeaderRoutine[],
): Promise<unknown> {
  return Promise.all(routines.map((routine) => runRoutine(ctx, term, routine)));
}

async function runRoutine(
  ctx: ControllerContext,
  term: LeaderTerm,
  routine: LeaderRoutine,
): Promise<void> {
  try {
    await routine.run(term.signal);
  } catch (err) {
    if (term.signal.aborted || err instanceof AbortedError) return;
    ctx.log.error({ routine: routine.name, err }, 'leader routine failed');
    term.resign(`leader routine ${routine.name} failed`);
  }
}
