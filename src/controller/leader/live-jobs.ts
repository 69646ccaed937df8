/**
 * Adds accepted jobs, as their records in the state service describe them, to
 * the leader's cluster state and to the demand forecast. Owns no state and
 * writes nothing to the state service.
 */
import type { Logger } from 'pino';
import { isObject } from '../../protocol/json-fields.js';
import type { Entry } from '../../protocol/key-value-protocol.js';
import { decodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { dependencyPageKey, LIVE_JOB_PREFIX } from '../../records/keys.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import { hasInlineDependencies } from '../api/job-store.js';
import type { LeaderTerm } from '../election/leader-term.js';
import type { DemandStore } from './demand-store.js';

/** The job's id in the key of its live record. */
export function jobIdOf(liveJobKey: string): string {
  return liveJobKey.slice(LIVE_JOB_PREFIX.length);
}

/** Takes records of live jobs into the cluster state of one leader term. */
export class LiveJobs {
  constructor(
    private readonly log: Logger,
    private readonly term: Pick<LeaderTerm, 'version'>,
    private readonly cluster: ClusterState,
    private readonly demand: Pick<DemandStore, 'recordArrival'>,
  ) {}

  /**
   * Adds all jobs of a list. Keys are listed in the order of their names;
   * jobs arrived in that of their versions, and priorities, quotas and the
   * demand forecast depend on that order.
   */
  addAll(entries: readonly Entry[]): void {
    for (const entry of [...entries].sort((a, b) => a.version - b.version)) this.add(entry);
  }

  /**
   * Adds one job; one that is known already, or whose cancellation was
   * announced, is left as it is. A record that can't be decoded is logged and
   * skipped: it must not keep the leader from the other jobs.
   */
  add({ key, value, version }: Entry): void {
    const record = decodeLiveJob(value);
    if (!record || !isObject(record.spec)) {
      this.log.error({ key }, 'live job is not readable');
      return;
    }
    // Of a job accepted before this term an earlier leader may have started tasks.
    const inherited = version <= this.term.version;
    const job = this.cluster.addJob(
      record.spec,
      version,
      record.acceptedAt,
      inherited,
      dependenciesOf(record),
    );
    if (job) this.demand.recordArrival(record.spec, version);
  }
}

/** What the record itself says of the job's dependencies; the rest is read by the dependency resolver. */
function dependenciesOf(record: LiveJobRecord) {
  const pages = Array.from({ length: record.dependencyPages ?? 0 }, (_, page) => page);
  return {
    ids: record.dependencies ?? [],
    unread: !hasInlineDependencies(record),
    keys: pages.map((page) => dependencyPageKey(record.spec.id, page)),
  };
}
