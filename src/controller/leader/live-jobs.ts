/**
 * Adds accepted jobs, as described by their records in the state service, to the
 * leader's cluster state and to the demand forecast. Owns no state and writes
 * nothing to the state service.
 */
import { isObject } from '../../protocol/json-fields.js';
import type { Entry } from '../../protocol/key-value-protocol.js';
import { decodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { dependencyPageKey, LIVE_JOB_PREFIX } from '../../records/keys.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import { hasInlineDependencies } from '../api/job-store.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { applyInTurns, STEPS_PER_RECORD } from '../work-in-turns.js';
import type { DemandStore } from './demand-store.js';

/** Returns the job id in the key of a live job record. */
export function jobIdOf(liveJobKey: string): string {
  return liveJobKey.slice(LIVE_JOB_PREFIX.length);
}

/** Adds records of live jobs to the cluster state of one leader term. */
export class LiveJobLoader {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'log' | 'timing'>,
    private readonly term: Pick<LeaderTerm, 'version'>,
    private readonly cluster: ClusterState,
    private readonly demandStore: Pick<DemandStore, 'recordArrival'>,
  ) {}

  /**
   * Adds all jobs of a list. The list is sorted by key, but jobs arrived in the
   * order of their versions, on which priorities, quotas and the demand forecast
   * depend. Their effects on other jobs are passed on afterwards, in one pass.
   * Takes several turns of the event loop; a job that ends meanwhile is not added.
   * Throws `AbortedError` when the signal is aborted.
   */
  async addAll(entries: readonly Entry[], signal: AbortSignal): Promise<void> {
    const { jobRegistry } = this.cluster;
    const byArrival = [...entries].sort((a, b) => a.version - b.version);
    jobRegistry.deferPropagation();
    try {
      await applyInTurns(
        this.ctx,
        'job list applied',
        byArrival,
        (entry) => this.add(entry),
        signal,
      );
    } finally {
      jobRegistry.resumePropagation();
    }
  }

  /**
   * Adds one job and returns the steps that it took. A job that is already known or
   * has just ended, or whose cancellation was announced, is left unchanged. A record
   * that can't be decoded is logged and skipped, since it must not keep the leader
   * from the other jobs.
   */
  add({ key, value, version }: Entry): number {
    const record = decodeLiveJob(value);
    if (!record || !isObject(record.spec)) {
      this.ctx.log.error({ key }, 'live job is not readable');
      return STEPS_PER_RECORD;
    }
    // An earlier leader may have started tasks of a job that was accepted before this term.
    const inherited = version <= this.term.version;
    const { spec, acceptedAt } = record;
    const dependencies = dependenciesOf(record);
    const job = this.cluster.addJob(spec, version, acceptedAt, inherited, dependencies);
    if (job) this.demandStore.recordArrival(spec, version);
    return STEPS_PER_RECORD + dependencies.ids.length;
  }
}

/**
 * Returns the dependencies that the record itself contains and the keys of its
 * dependency pages. The dependency resolver reads the other dependencies.
 */
function dependenciesOf(record: LiveJobRecord) {
  const pages = Array.from({ length: record.dependencyPages ?? 0 }, (_, page) => page);
  return {
    ids: record.dependencies ?? [],
    unread: !hasInlineDependencies(record),
    keys: pages.map((page) => dependencyPageKey(record.spec.id, page)),
  };
}
