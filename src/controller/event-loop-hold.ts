/** Measures how long synchronous work holds the event loop, and logs what held it for long. */
import type { ControllerContext } from './context.js';

/** The work that is measured; the names are written to the log. */
export type MeasuredActivity =
  | 'job list applied'
  | 'job events applied'
  | 'roster restored'
  | 'finished tasks restored'
  | 'dependency pages checked'
  | 'job ends applied'
  | 'dependencies read'
  | 'dependencies propagated'
  | 'placement round'
  | 'heartbeat applied'
  | 'cancellation applied'
  | 'machine list applied'
  | 'scaling planned'
  | 'progress collected'
  | 'dependency snapshot built';

/** What the measurement needs of the controller's context. */
export type HoldContext = Pick<ControllerContext, 'clock' | 'log'> & {
  readonly timing: Pick<ControllerContext['timing'], 'lagThresholdMs'>;
};

/**
 * Carries out synchronous work and returns its result. Work that takes longer than
 * `lagThresholdMs` is logged, since no request is answered and no lease renewed
 * meanwhile.
 */
export function measureHold<T>(ctx: HoldContext, activity: MeasuredActivity, work: () => T): T {
  const startedAt = ctx.clock.now();
  try {
    return work();
  } finally {
    const heldMs = ctx.clock.now() - startedAt;
    if (heldMs > ctx.timing.lagThresholdMs)
      ctx.log.info({ activity, ms: Math.round(heldMs) }, 'event loop held');
  }
}
