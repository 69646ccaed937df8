/**
 * Passes on changes along the dependencies between jobs that were too many for one
 * turn of the event loop. Owns no state and writes nothing; the changes are
 * recorded in the dependency graph, which may change between the turns.
 */
import { nextTurn } from '../../runtime/next-turn.js';
import type { DependencyGraph } from '../../scheduler/state/dependency-graph.js';
import type { ControllerContext } from '../context.js';
import { measureHold } from '../event-loop-hold.js';
import { STEPS_PER_TURN } from '../work-in-turns.js';

/**
 * Passes on all recorded changes, in turns of `STEPS_PER_TURN` visits. Returns
 * when none is left or the signal is aborted.
 */
export async function propagateChanges(
  ctx: Pick<ControllerContext, 'clock' | 'log' | 'timing'>,
  dependencies: Pick<DependencyGraph, 'propagate'>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const done = measureHold(ctx, 'dependencies propagated', () =>
      dependencies.propagate(STEPS_PER_TURN),
    );
    if (done) return;
    await nextTurn();
  }
}

/** Passes on changes until the signal is aborted; throws `AbortedError` then. */
export async function runPropagation(
  ctx: Pick<ControllerContext, 'clock' | 'log' | 'timing'>,
  dependencies: Pick<DependencyGraph, 'propagate'>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await ctx.clock.sleep(ctx.timing.placementIntervalMs, signal);
    await propagateChanges(ctx, dependencies, signal);
  }
}
