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
import { retry } from '../retry.js';
import { applyInTurns, STEPS_PER_RECORD } from '../work-in-turns.js';
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
        await this.applyEvents(changes.events, signal);
        appliedRevision = changes.revision;
      } else {
        // The revision is too old to be watched, or too much has changed since. That says nothing
        // about the jobs, so all of them are read again.
        requestedAt = ctx.clock.now();
        const live = await readPrefixSnapshot(ctx, LIVE_JOB_PREFIX, signal);
        await this.applyCompleteList(live.entries, signal);
        appliedRevision = live.revision;
      }
      cluster.recordAppliedJobRevision(appliedRevision);
      // The request time counts, since a watch that waits while the state service refuses only this
      // controller proves nothing about the present. A later time would allow starts after a
      // cancellation that was confirmed elsewhere.
      term.setCancellationsKnownAt(requestedAt);
    }
  }

  /**
   * Applies events in several turns of the event loop. What happens in between is
   * as if the response had come in parts: a job whose end comes with a later event
   * may start tasks until then only within the bound for cancellations, since this
   * response has not been applied yet.
   */
  private async applyEvents(events: readonly StoreEvent[], signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this.options;
    cluster.jobRegistry.deferPropagation();
    try {
      await applyInTurns(
        ctx,
        'job events applied',
        events,
        (event) => this.applyEvent(event),
        signal,
      );
    } finally {
      cluster.jobRegistry.resumePropagation();
    }
  }

  /** Applies one event and returns the steps that it took. */
  private applyEvent(event: StoreEvent): number {
    const { liveJobLoader, commands } = this.options;
    const steps = event.op === 'put' ? liveJobLoader.add(event) : this.endJob(jobIdOf(event.key));
    // Running tasks of an ended job are stopped without waiting for the machines' next heartbeats.
    commands.deferSendPending();
    return steps;
  }

  /**
   * Ends the jobs that are missing from the complete list of live jobs and adds
   * those not known yet. Takes several turns of the event loop.
   */
  private async applyCompleteList(entries: readonly Entry[], signal: AbortSignal): Promise<void> {
    const { ctx, cluster, liveJobLoader } = this.options;
    const liveIds = new Set(entries.map((entry) => jobIdOf(entry.key)));
    const missingIds = [...cluster.jobs.keys()].filter((id) => !liveIds.has(id));
    await applyInTurns(ctx, 'job ends applied', missingIds, (id) => this.endJob(id), signal);
    await liveJobLoader.addAll(entries, signal);
  }

  /** Ends a job that is no longer live and returns the steps that it took. */
  private endJob(id: string): number {
    const { cluster } = this.options;
    const job = cluster.jobs.get(id);
    cluster.endJob(id, null);
    return STEPS_PER_RECORD + (job ? job.pendingDependencies.size + job.activeAttempts.size : 0);
  }
}
