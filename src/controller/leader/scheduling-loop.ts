/**
 * The scheduling loop of one leader term: placement rounds over all live jobs
 * and machines. Owns the time of the last round. Assignments go to
 * `ClusterState` and leave as agent commands; nothing is written to the state
 * service.
 *
 * Serves docs/design.md "Safety" 2: no round begins while the term is not
 * proven or its knowledge of the jobs is not current.
 */
import type { SchedulerPolicy } from '../../model/policy.js';
import { runPlacementRound } from '../../scheduler/placement/placement-round.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import type { AgentCommands } from './agent-commands.js';

/** A round is followed by this many times its duration for heartbeats and the job API. */
const ROUND_REST_RATIO = 8;

/** Without an event a round is run after this many round intervals. */
const IDLE_ROUND_INTERVALS = 10;

/** Under overload a round may start this share of the ready tasks. */
const OVERLOAD_START_SHARE = 1 / 8;

/** What the loop works on. */
export interface SchedulingLoopOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  policy: SchedulerPolicy;
  commands: Pick<AgentCommands, 'sendPendingSoon'>;
}

/** Runs placement rounds while the term may start tasks. */
export class SchedulingLoop {
  private lastRoundAt = 0;

  constructor(private readonly options: SchedulingLoopOptions) {}

  /** Runs rounds until the signal is aborted; throws `AbortedError` then. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx, term, cluster } = this.options;
    const { clock, timing } = ctx;
    let pauseMs = timing.roundMs;
    while (!signal.aborted) {
      const dueAt = clock.now() + pauseMs;
      await clock.sleep(pauseMs, signal);
      pauseMs = timing.roundMs;
      const now = clock.now();
      // Guards against machines that seem silent because this process did not run.
      if (now - dueAt > timing.lagThresholdMs) cluster.markLagging(now);
      if (!term.mayStartTasks() || !this.isRoundDue(now)) continue;
      if (this.runRound(now)) cluster.roundDue = true;
      // The larger the cluster, the longer a round takes: heartbeats and users must not wait for the next one.
      pauseMs = Math.max(pauseMs, (clock.now() - now) * ROUND_REST_RATIO);
    }
  }

  /** Back-offs and reservations expire without an event: a periodic round finds what they free. */
  private isRoundDue(now: number): boolean {
    const { ctx, cluster } = this.options;
    return cluster.roundDue || now - this.lastRoundAt >= ctx.timing.roundMs * IDLE_ROUND_INTERVALS;
  }

  /** True: the round reached its limit of starts, and the next one is due at once. */
  private runRound(now: number): boolean {
    const { cluster, commands } = this.options;
    cluster.roundDue = false;
    this.lastRoundAt = now;
    const limit = this.startLimit();
    const result = runPlacementRound(cluster, limit, now);
    // Only after a heartbeat that is being handled now: its response takes its machine's commands first.
    commands.sendPendingSoon();
    return result.started.length >= limit;
  }

  /** Under overload a round decides more at once, so that its fixed cost is shared. */
  private startLimit(): number {
    const { cluster, policy } = this.options;
    let ready = 0;
    for (const job of cluster.jobs.values()) ready += job.readyCount;
    return Math.max(policy.startsPerMachine, Math.ceil(ready * OVERLOAD_START_SHARE));
  }
}
