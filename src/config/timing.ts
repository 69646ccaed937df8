/**
 * Derives the timers and time limits of a controller from the settings. Each is
 * proportional to configured values, so that a deployment with other values
 * keeps the margins that safety depends on (docs/design.md, "One bound for
 * cancellations").
 */
import type { PlatformSettings } from './settings.js';

/** The protocol guarantees that the clocks of two machines drift apart by at most this ratio. */
export const MAX_CLOCK_DRIFT = 0.0005;

/** Durations in milliseconds. `timingOf` has the formula of each. */
export interface Timing {
  /** Interval between the heartbeats of an agent. */
  heartbeatMs: number;
  /** Length of the leader's lease in the state service. */
  leaderLeaseMs: number;
  /** Interval between renewals of the leader's lease and between status messages to peers; the unit of most retry delays. */
  renewalIntervalMs: number;
  /** Leadership counts as proven for this long after a successful renewal was sent. */
  leadershipProofMs: number;
  /** Agents' leases are no longer renewed once leadership has been unproven, or cancellations unknown, for this long. */
  agentRenewalMs: number;
  /** Timeout of a request to the state service. */
  stateTimeoutMs: number;
  /** Maximum time that a watch of the leader key or a mailbox waits for a change. */
  watchTimeoutMs: number;
  /** Maximum time that the leader's watch of jobs waits. Its response proves that all cancellations up to its request are known. */
  jobWatchTimeoutMs: number;
  /** Half of the timeout for receiving a request, and for sending the last reply of a connection. */
  halfTransferTimeoutMs: number;
  /** Timeout of a request to the cloud. */
  cloudTimeoutMs: number;
  /** Timeout of a command to an agent. */
  commandTimeoutMs: number;
  /** Pause between two lists of the cloud's machines. */
  machineListIntervalMs: number;
  /**
   * A machine that is missing from a list has been terminated if the list was requested after its last
   * heartbeat and more than this long after the leader first learned of the machine.
   */
  listProofMs: number;
  /** Pause between two reads of the machine types and prices. */
  machineTypesIntervalMs: number;
  /** Pause between two writes of the demand forecast, which the next leader reads. */
  demandSaveIntervalMs: number;
  /** Minimum pause between two placement rounds. */
  placementIntervalMs: number;
  /** The event loop counts as lagging when a timer fires more than this after it is due. */
  lagThresholdMs: number;
  /** Pause between two writes of finished tasks and ends of jobs. */
  progressWriteIntervalMs: number;
  /** A controller caches what it has read of a live dependency for this long. */
  dependencyFreshMs: number;
  /** A stored dependency list is removed once the leader has found its job not live for this long. */
  orphanListRetentionMs: number;
  /** Minimum pause between two plans of scale-out and scale-in. */
  scalingIntervalMs: number;
  /** A machine that has sent no heartbeat for this long counts as unreachable. */
  unreachableAfterMs: number;
  /** Length of an agent's lease. An agent whose lease expires ends its tasks. */
  agentLeaseMs: number;
  /** A follower renews agents' leases for an unreachable leader until this long after the leader last announced that it leads. */
  delegatedRenewalMs: number;
  /** Interval between log lines about the state of the fleet. */
  fleetLogIntervalMs: number;
}

/** Returns the timers that result from the settings. */
export function timingOf(platform: PlatformSettings): Timing {
  const { workers, cloud, state } = platform.settings;
  const heartbeatMs = workers.report_s * 1000;
  const agentLeaseMs = workers.lease_s * 1000;
  const cancelMs = workers.cancel_s * 1000;
  const listLagMs = cloud.list_lag_s * 1000;
  // Short compared with an agent's lease, because agents have to reach the next leader before their
  // own leases expire, and the failover takes up part of that time.
  const leaderLeaseMs = Math.min(agentLeaseMs * 0.2, heartbeatMs * 1.5);
  return {
    heartbeatMs,
    leaderLeaseMs,
    // The proof of leadership lasts about three intervals, so that it outlives one failed renewal and
    // a response to the next renewal that takes almost a whole interval.
    renewalIntervalMs: leaderLeaseMs * 0.25,
    // The proof ends well before the lease can expire by any clock, because another leader may be
    // elected once the lease has expired.
    leadershipProofMs: leaderLeaseMs * 0.75 * (1 - MAX_CLOCK_DRIFT),
    // A cancellation that this leader does not know of was confirmed after the last time at which the
    // leader knew all cancellations. The leader responds to heartbeats for this long after that
    // time. The last response renews a lease from the time at which the agent sent its heartbeat, and
    // the agent ends its tasks one lease after that.
    //
    // Together this takes at most 0.95 cancel_s + 0.05 lease_s. The rest of cancel_s covers clock drift
    // and the transit time of a response.
    agentRenewalMs: Math.max(0, (cancelMs - agentLeaseMs) * 0.95),
    // stateTimeoutMs and commandTimeoutMs are shorter than the timeouts that agents and users set on
    // their requests.
    stateTimeoutMs: heartbeatMs * 0.4,
    watchTimeoutMs: heartbeatMs * 2,
    // One renewal interval, because tasks may start only while the knowledge of cancellations is as
    // recent as the proof of leadership must be.
    jobWatchTimeoutMs: leaderLeaseMs * 0.25,
    halfTransferTimeoutMs: heartbeatMs * 0.8,
    cloudTimeoutMs: heartbeatMs * 2,
    commandTimeoutMs: heartbeatMs * 0.5,
    // At one page per list, listing uses at most two thirds of the cloud's request rate.
    machineListIntervalMs: Math.max(listLagMs * 0.6, 1500 / cloud.rps),
    // The actual lag of the list is at times up to twice the configured one.
    listProofMs: listLagMs * 3 + heartbeatMs,
    machineTypesIntervalMs: listLagMs * 6 + heartbeatMs,
    demandSaveIntervalMs: agentLeaseMs / 3,
    // A small fraction of the shortest wait that an objective allows, however long the heartbeat
    // interval is.
    placementIntervalMs: shortestObjectiveWaitMs(platform, heartbeatMs) / 30,
    lagThresholdMs: heartbeatMs / 20,
    // Users should see the end of a job well within a heartbeat interval. The pause is at least the
    // time in which the current limit allows five changes. Progress may use more than a fifth of the
    // allowed changes, so one pause suffices for one change unless a lower limit is announced.
    progressWriteIntervalMs: Math.max(heartbeatMs / 30, 5000 / state.write_rps),
    // Well within cancel_s, because a dependent job may be reported as queued for this long after the
    // cancellation of its dependency.
    dependencyFreshMs: cancelMs * 0.2,
    // Removal is safe at any time. The delay avoids that submissions in progress have to start over.
    orphanListRetentionMs: cancelMs * 2,
    scalingIntervalMs: heartbeatMs / 3,
    // Allows for two lost heartbeats in a row.
    unreachableAfterMs: heartbeatMs * 3,
    agentLeaseMs,
    // A command that was delayed by a network partition may still reach an agent whose lease is
    // renewed, so renewal must end early enough for the tasks of a cancelled job to end within
    // cancel_s. The three heartbeat intervals allow for a late arrival of the first command.
    delegatedRenewalMs: Math.max(0, (cancelMs - agentLeaseMs) * 0.9 - heartbeatMs * 3),
    fleetLogIntervalMs: agentLeaseMs / 2,
  };
}

/** Returns the shortest wait that an objective allows, at most one heartbeat interval. */
function shortestObjectiveWaitMs(platform: PlatformSettings, heartbeatMs: number): number {
  const waits = (platform.settings.objectives ?? []).flatMap((objective) =>
    (objective.kind === 'wait' || objective.kind === 'guarantee') && objective.within_s
      ? [objective.within_s * 1000]
      : [],
  );
  return Math.min(heartbeatMs, ...waits);
}
