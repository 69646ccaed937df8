/**
 * The scheduling loop of one leader term: placement rounds over all live jobs and
 * machines. Owns the time of the last round. Assignments are recorded in
 * `ClusterState` and sent as agent commands; nothing is written to the state
 * service.
 *
 * Serves docs/design.md "Safety" 2: no round begins while the term is unproven or
 * its knowledge of the jobs is not current.
 */
import type { SchedulerPolicy } from '../../model/policy.js';
import { runPlacementRound } from '../../scheduler/placement/placement-round.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { measureHold } from '../event-loop-hold.js';
import type { AgentCommands } from './agent-commands.js';

/** After a round, this many times its duration is left for heartbeats and the job API. */
const ROUND_PAUSE_RATIO = 8;

/** Without an event, a round runs after this many round intervals. */
const IDLE_ROUND_INTERVALS = 10;

/** Share of the ready tasks that one round may start under overload. */
const OVERLOAD_START_SHARE = 1 / 8;

/** Dependencies of `SchedulingLoop`. */
export interface SchedulingLoopOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  policy: SchedulerPolicy;
  commands: Pick<AgentCommands, 'deferSendPending'>;
}

/** Runs placement rounds while the term may start tasks. */
export class SchedulingLoop {
  private lastRoundAt = 0;

  constructor(private readonly options: SchedulingLoopOptions) {}

  /** Runs rounds until the signal is aborted; throws `AbortedError` then. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx, term, cluster } = this.options;
    const { clock, timing } = ctx;
    let pauseMs = timing.placementIntervalMs;
    while (!signal.aborted) {
      const dueAt = clock.now() + pauseMs;
      await clock.sleep(pauseMs, signal);
      pauseMs = timing.placementIntervalMs;
      const now = clock.now();
      // Machines may seem silent only because this process was not running.
      if (now - dueAt > timing.lagThresholdMs) cluster.markLagging(now);
      if (!term.mayStartTasks() || !this.isRoundDue(now)) continue;
      if (measureHold(ctx, 'placement round', () => this.runRound(now))) cluster.roundDue = true;
      // The larger the cluster, the longer a round takes. The pause grows with it, so that
      // heartbeats and users are served in between.
      pauseMs = Math.max(pauseMs, (clock.now() - now) * ROUND_PAUSE_RATIO);
    }
  }

  /**
   * Reports whether a round is due. Back-offs and reservations expire without an
   * event, so a periodic round uses the capacity that they free.
   */
  private isRoundDue(now: number): boolean {
    const { ctx, cluster } = this.options;
    return (
      cluster.roundDue ||
      now - this.lastRoundAt >= ctx.timing.placementIntervalMs * IDLE_ROUND_INTERVALS
    );
  }

  /**
   * Returns true when the round reached its limit of starts or of visits, so that
   * the next one is due immediately.
   */
  private runRound(now: number): boolean {
    const { cluster, commands } = this.options;
    cluster.roundDue = false;
    this.lastRoundAt = now;
    const limit = this.startLimit();
    const result = runPlacementRound(cluster, limit, now);
    // Deferred, so that the response to a heartbeat that is being handled takes its machine's
    // commands first.
    commands.deferSendPending();
    return result.unfinished || result.started.length >= limit;
  }

  /**
   * Returns how many tasks the next round may start. Under overload it starts more,
   * which spreads its fixed cost.
   */
  private startLimit(): number {
    const { cluster, policy } = this.options;
    let readyTasks = 0;
    for (const job of cluster.jobs.values()) readyTasks += job.readyCount;
    return Math.max(policy.roundStartLimit, Math.ceil(readyTasks * OVERLOAD_START_SHARE));
  }
}
