import type { Platform } from './settings.js';

/** Clocks of two machines drift apart by at most this share (protocol). */
export const DRIFT = 0.0005;

/**
 * Every timer and bound of the daemon, each a ratio to a figure of the
 * settings. Durations are in milliseconds.
 */
export interface Timing {
  /** Workers report this often. */
  heartbeatMs: number;
  /** Life of the leader's lease in the state service. */
  leaseMs: number;
  renewMs: number;
  /** After the sending of a renewal that succeeded, leadership counts as proven for this long. */
  leadershipProofMs: number;
  /** Without proof for this long, reports are no longer answered, so that the workers' leases run out in time. */
  agentRenewalMs: number;
  stateTimeoutMs: number;
  watchTimeoutMs: number;
  /** The leader's watch of jobs is asked anew this often: its news counts from when it was asked for. */
  jobWatchMs: number;
  userTimeoutMs: number;
  cloudTimeoutMs: number;
  commandTimeoutMs: number;
  listMs: number;
  /** A list asked for this long after a machine was last known to exist must show it. */
  listProofMs: number;
  typesMs: number;
  /** What work is expected is written down this often. */
  demandSaveMs: number;
  roundMs: number;
  /** A timer that is later than this shows that the processor is behind. */
  lagThresholdMs: number;
  progressWriteMs: number;
  /** What a node has read of a job that others need counts for this long, as far as it was live. */
  dependencyFreshMs: number;
  /** A list of upstream jobs whose job is not live is removed after this long. */
  orphanListMs: number;
  scalingMs: number;
  unreachableAfterMs: number;
  agentLeaseMs: number;
  /** A node without leadership keeps a cut-off machine's lease alive for this long. */
  delegatedRenewalMs: number;
  /** The leader tells of the fleet in the log this often. */
  fleetLogMs: number;
}

export function timingOf(platform: Platform): Timing {
  const { workers, cloud, state } = platform.settings;
  const reportMs = workers.report_s * 1000;
  const workerLeaseMs = workers.lease_s * 1000;
  const cancelMs = workers.cancel_s * 1000;
  const lagMs = cloud.list_lag_s * 1000;
  // The shortest time that work may have to wait: rounds rest on it, whatever the workers' interval.
  const waits = (platform.settings.objectives ?? []).flatMap((o) =>
    (o.kind === 'wait' || o.kind === 'guarantee') && o.within_s ? [o.within_s * 1000] : [],
  );
  const waitMs = Math.min(reportMs, ...waits);
  const leaseMs = Math.min(workerLeaseMs * 0.2, reportMs * 1.5);
  return {
    heartbeatMs: reportMs,
    leaseMs,
    renewMs: leaseMs * 0.25,
    leadershipProofMs: leaseMs * 0.75 * (1 - DRIFT),
    // A cancellation that this node does not know of was confirmed after its last news. From there on it
    // answers for answerMs, the last answer renews a lease from when its report was sent, before the
    // answer, and the worker ends its tasks a lease later: together at most 0.95 cancel_s + 0.05 lease_s.
    // What is left of cancel_s covers drift and the time that an answer is on its way (docs/design.md).
    agentRenewalMs: Math.max(0, (cancelMs - workerLeaseMs) * 0.95),
    stateTimeoutMs: reportMs * 0.4,
    watchTimeoutMs: reportMs * 2,
    jobWatchMs: leaseMs * 0.25,
    userTimeoutMs: reportMs * 0.8,
    cloudTimeoutMs: reportMs * 2,
    commandTimeoutMs: reportMs * 0.5,
    listMs: Math.max(lagMs * 0.6, 1500 / cloud.rps),
    listProofMs: lagMs * 3 + reportMs,
    typesMs: lagMs * 6 + reportMs,
    demandSaveMs: workerLeaseMs / 3,
    roundMs: waitMs / 30,
    lagThresholdMs: reportMs / 20,
    // A fifth of the changes a second may go to progress, and a reader should see an end well within a report.
    progressWriteMs: Math.max(reportMs / 30, 5000 / state.write_rps),
    // Somebody may be told that a job waits for as long after a job upstream of it was cancelled: well within cancel_s.
    dependencyFreshMs: cancelMs * 0.2,
    // Removal is safe at any moment; the time keeps it from making submissions under way begin anew.
    orphanListMs: cancelMs * 2,
    scalingMs: reportMs / 3,
    unreachableAfterMs: reportMs * 3,
    agentLeaseMs: workerLeaseMs,
    // A command held back by the cut may still reach a session that is kept alive, so it must end in time for a cancellation; three reports cover how late the first of them came.
    delegatedRenewalMs: Math.max(0, (cancelMs - workerLeaseMs) * 0.9 - reportMs * 3),
    fleetLogMs: workerLeaseMs / 2,
  };
}
