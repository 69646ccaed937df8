/**
 * Every timer and bound of a controller, each a ratio to a figure of the
 * settings, so that a deployment with other figures keeps the distances that
 * safety rests on (docs/design.md, "One bound for cancellations").
 */
import type { Platform } from './settings.js';

/** Clocks of two machines drift apart by at most this share (protocol). */
export const DRIFT = 0.0005;

/** Durations, in milliseconds. What each is a ratio of is in `timingOf`, with the reason. */
export interface Timing {
  /** Interval of agents' heartbeats. */
  heartbeatMs: number;
  /** Length of the leader's lease in the state service. */
  leaseMs: number;
  /** Interval in which the lease is renewed and statuses are sent to peers; the unit of most retries. */
  renewMs: number;
  /** Leadership counts as proven for this long after the sending of a renewal that succeeded. */
  leadershipProofMs: number;
  /** Without proof or knowledge of cancellations for this long, no agent's lease is renewed any more. */
  agentRenewalMs: number;
  /** Time-out of a request to the state service. */
  stateTimeoutMs: number;
  /** How long a watch of the leader key or a mailbox waits for a change. */
  watchTimeoutMs: number;
  /** How long the leader's watch of jobs waits: its answer makes cancellations known as of when it was asked. */
  jobWatchMs: number;
  /** Half of how long a request may take to arrive, or its reply to be taken. */
  userTimeoutMs: number;
  /** Time-out of a request to the cloud. */
  cloudTimeoutMs: number;
  /** Time-out of a command to an agent. */
  commandTimeoutMs: number;
  /** Interval in which the cloud's machines are listed. */
  listMs: number;
  /** A list requested this long after a machine was last known to exist must show it, unless it is terminated. */
  listProofMs: number;
  /** Interval in which machine types and prices are read. */
  typesMs: number;
  /** Interval in which the demand forecast is stored for the next leader. */
  demandSaveMs: number;
  /** Shortest pause between two placement rounds. */
  roundMs: number;
  /** A timer that is later than this shows that the event loop lags. */
  lagThresholdMs: number;
  /** Interval in which finished tasks and ends of jobs are written. */
  progressWriteMs: number;
  /** What a controller has read of a live job that others depend on counts for this long. */
  dependencyFreshMs: number;
  /** A stored list of dependencies whose job is not live is removed after this long. */
  orphanListMs: number;
  /** Interval in which scale out and scale in are decided. */
  scalingMs: number;
  /** A machine without a heartbeat for this long counts as unreachable. */
  unreachableAfterMs: number;
  /** Length of an agent's lease: without a renewal it ends its tasks. */
  agentLeaseMs: number;
  /** How long a follower renews the leases of agents on behalf of an unreachable leader. */
  delegatedRenewalMs: number;
  /** Interval of the log line on the fleet. */
  fleetLogMs: number;
}

/** The timers by the settings. */
export function timingOf(platform: Platform): Timing {
  const { workers, cloud, state } = platform.settings;
  const heartbeatMs = workers.report_s * 1000;
  const agentLeaseMs = workers.lease_s * 1000;
  const cancelMs = workers.cancel_s * 1000;
  const listLagMs = cloud.list_lag_s * 1000;
  // Short beside an agent's lease: what a failover takes of that, agents lack to reach the next leader in time.
  const leaseMs = Math.min(agentLeaseMs * 0.2, heartbeatMs * 1.5);
  return {
    heartbeatMs,
    leaseMs,
    // One renewal may fail, and the answer to the next one take an interval, without costing the proof.
    renewMs: leaseMs * 0.25,
    // Ends well before the lease can run out by any clock, which is when the next leader may be elected.
    leadershipProofMs: leaseMs * 0.75 * (1 - DRIFT),
    // A cancellation that this leader does not know of was confirmed after the last moment at which it knew
    // all of them. From there on it answers heartbeats for this long; the last answer renews a lease as of
    // when the heartbeat was sent, before the answer, and the agent ends its tasks a lease later: together at
    // most 0.95 cancel_s + 0.05 lease_s. What is left of cancel_s covers drift and the time that an answer
    // is on its way.
    agentRenewalMs: Math.max(0, (cancelMs - agentLeaseMs) * 0.95),
    // This and the time-out of commands stay below the agents' and users' own time-outs.
    stateTimeoutMs: heartbeatMs * 0.4,
    watchTimeoutMs: heartbeatMs * 2,
    // A renewal interval: knowledge of cancellations has to be as fresh as the proof for tasks to start.
    jobWatchMs: leaseMs * 0.25,
    userTimeoutMs: heartbeatMs * 0.8,
    cloudTimeoutMs: heartbeatMs * 2,
    commandTimeoutMs: heartbeatMs * 0.5,
    // A list of one page takes at most two thirds of the cloud's rate.
    listMs: Math.max(listLagMs * 0.6, 1500 / cloud.rps),
    // The lag is at times up to twice what the settings say.
    listProofMs: listLagMs * 3 + heartbeatMs,
    typesMs: listLagMs * 6 + heartbeatMs,
    demandSaveMs: agentLeaseMs / 3,
    // A small part of the shortest wait that an objective allows, whatever the interval of heartbeats.
    roundMs: shortestWaitMs(platform, heartbeatMs) / 30,
    lagThresholdMs: heartbeatMs / 20,
    // A fifth of the changes a second may go to progress, and a user should see an end well within a heartbeat interval.
    progressWriteMs: Math.max(heartbeatMs / 30, 5000 / state.write_rps),
    // A user may get the answer that a job waits for this long after a dependency was cancelled: well within cancel_s.
    dependencyFreshMs: cancelMs * 0.2,
    // Removal is safe at any moment; the time keeps it from making submissions under way start again.
    orphanListMs: cancelMs * 2,
    scalingMs: heartbeatMs / 3,
    // Two heartbeats in a row may be lost.
    unreachableAfterMs: heartbeatMs * 3,
    agentLeaseMs,
    // A command delayed by the partition may still reach an agent whose lease is renewed, so this must end in
    // time for a cancellation; three heartbeat intervals cover how late the first of the commands came.
    delegatedRenewalMs: Math.max(0, (cancelMs - agentLeaseMs) * 0.9 - heartbeatMs * 3),
    fleetLogMs: agentLeaseMs / 2,
  };
}

/** The shortest wait that an objective asks for, at most one heartbeat interval. */
function shortestWaitMs(platform: Platform, heartbeatMs: number): number {
  const waits = (platform.settings.objectives ?? []).flatMap((objective) =>
    (objective.kind === 'wait' || objective.kind === 'guarantee') && objective.within_s
      ? [objective.within_s * 1000]
      : [],
  );
  return Math.min(heartbeatMs, ...waits);
}
