/**
 * Keeps the leader's jobs in line with the live jobs of the state service.
 * Owns the revision up to which changes have been applied, and is the only
 * routine that moves `LeaderTerm.setCancellationsKnownAt` forward after the
 * restoration. Writes nothing to the state service.
 *
 * Serves docs/design.md "Safety" 2 (starts require current knowledge of the
 * jobs) and "One bound for cancellations": only an applied answer proves that
 * no cancellation was missed, and only up to the moment when it was asked for.
 */
import type { Entry, StoreEvent } from '../../protocol/key-value-protocol.js';
import { LIVE_JOB_PREFIX } from '../../records/keys.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { retry } from '../retry.js';
import type { AgentCommands } from './agent-commands.js';
import { jobIdOf, type LiveJobs } from './live-jobs.js';
import { readPrefixSnapshot } from './prefix-snapshot.js';

/** What the watch works on. */
export interface JobWatchOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  liveJobs: LiveJobs;
  commands: Pick<AgentCommands, 'sendPendingSoon'>;
}

/** The watch of live jobs of one leader term. */
export class JobWatch {
  constructor(private readonly options: JobWatchOptions) {}

  /** Applies all changes after the revision until the signal is aborted. */
  async run(revision: number, signal: AbortSignal): Promise<void> {
    const { ctx, term, cluster } = this.options;
    let appliedRevision = revision;
    while (!signal.aborted) {
      let askedAt = ctx.clock.now();
      const after = appliedRevision;
      const changes = await retry(ctx, signal, (callSignal) =>
        ctx.state.watch(LIVE_JOB_PREFIX, after, ctx.timing.jobWatchMs, callSignal),
      );
      if (changes) {
        for (const event of changes.events) this.applyEvent(event);
        appliedRevision = changes.revision;
      } else {
        // The revision is too old, which by itself says nothing about the jobs: only the reread does.
        askedAt = ctx.clock.now();
        const live = await readPrefixSnapshot(ctx, LIVE_JOB_PREFIX, signal);
        this.applyCompleteList(live.entries);
        appliedRevision = live.revision;
      }
      cluster.markJobsCurrent(appliedRevision);
      // Guards against starts after a cancellation that was confirmed elsewhere: a watch that waits
      // while the state service refuses this controller alone proves nothing about the present.
      term.setCancellationsKnownAt(askedAt);
    }
  }

  private applyEvent(event: StoreEvent): void {
    const { cluster, liveJobs, commands } = this.options;
    if (event.op === 'put') liveJobs.add(event);
    else cluster.endJob(jobIdOf(event.key), null);
    // Running tasks of an ended job are stopped without waiting for the machines' next heartbeats.
    commands.sendPendingSoon();
  }

  /** Jobs that are not in the complete list of live jobs have ended; those not known yet are added. */
  private applyCompleteList(entries: readonly Entry[]): void {
    const { cluster, liveJobs } = this.options;
    const liveIds = new Set(entries.map((entry) => jobIdOf(entry.key)));
    for (const id of [...cluster.jobs.keys()]) if (!liveIds.has(id)) cluster.endJob(id, null);
    liveJobs.addAll(entries);
  }
}
