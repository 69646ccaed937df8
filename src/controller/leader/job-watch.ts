/**
 * Keeps the leader's jobs in line with the live jobs in the state service. Owns
 * the revision up to which changes have been applied, and is the only routine
 * that calls `LeaderTerm.setCancellationsKnownAt` after the restoration. Writes
 * nothing to the state service.
 *
 * Serves docs/design.md "Safety" 2 (starts require current knowledge of the jobs)
 * and "One bound for cancellations": only an applied response proves that no
 * cancellation was missed, and only up to the time of its request.
 */
import type { Entry, StoreEvent } from '../../protocol/key-value-protocol.js';
import { LIVE_JOB_PREFIX } from '../../records/keys.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { measureHold } from '../event-loop-hold.js';
import { retry } from '../retry.js';
import type { AgentCommands } from './agent-commands.js';
import { jobIdOf, type LiveJobLoader } from './live-jobs.js';
import { readPrefixSnapshot } from './prefix-snapshot.js';

/** Dependencies of `JobWatch`. */
export interface JobWatchOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  liveJobLoader: LiveJobLoader;
  commands: Pick<AgentCommands, 'deferSendPending'>;
}

/** Watches the live jobs for one leader term. */
export class JobWatch {
  constructor(private readonly options: JobWatchOptions) {}

  /** Applies all changes after the revision; throws `AbortedError` when the signal is aborted. */
  async run(revision: number, signal: AbortSignal): Promise<void> {
    const { ctx, term, cluster } = this.options;
    let appliedRevision = revision;
    while (!signal.aborted) {
      let requestedAt = ctx.clock.now();
      const after = appliedRevision;
      const changes = await retry(ctx, signal, (callSignal) =>
        ctx.state.watch(LIVE_JOB_PREFIX, after, ctx.timing.jobWatchTimeoutMs, callSignal),
      );
      if (changes) {
        measureHold(ctx, 'job events applied', () => {
          for (const event of changes.events) this.applyEvent(event);
        });
        appliedRevision = changes.revision;
      } else {
        // The revision is too old to be watched, or too much has changed since. That says nothing
        // about the jobs, so all of them are read again.
        requestedAt = ctx.clock.now();
        const live = await readPrefixSnapshot(ctx, LIVE_JOB_PREFIX, signal);
        measureHold(ctx, 'job list applied', () => this.applyCompleteList(live.entries));
        appliedRevision = live.revision;
      }
      cluster.recordAppliedJobRevision(appliedRevision);
      // The request time counts, since a watch that waits while the state service refuses only this
      // controller proves nothing about the present. A later time would allow starts after a
      // cancellation that was confirmed elsewhere.
      term.setCancellationsKnownAt(requestedAt);
    }
  }

  private applyEvent(event: StoreEvent): void {
    const { cluster, liveJobLoader, commands } = this.options;
    if (event.op === 'put') liveJobLoader.add(event);
    else cluster.endJob(jobIdOf(event.key), null);
    // Running tasks of an ended job are stopped without waiting for the machines' next heartbeats.
    commands.deferSendPending();
  }

  /**
   * Ends the jobs that are missing from the complete list of live jobs and adds
   * those not known yet.
   */
  private applyCompleteList(entries: readonly Entry[]): void {
    const { cluster, liveJobLoader } = this.options;
    const liveIds = new Set(entries.map((entry) => jobIdOf(entry.key)));
    for (const id of [...cluster.jobs.keys()]) if (!liveIds.has(id)) cluster.endJob(id, null);
    liveJobLoader.addAll(entries);
  }
}
