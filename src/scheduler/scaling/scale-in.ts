/** Scale-in: which machines are to be terminated, and why. */
import type { ClusterState } from '../state/cluster-state.js';
import type { DrainReason } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import { usualBootMs } from './boot-time.js';
import { type FleetConditions, fleetConditions } from './fleet-conditions.js';

/** A machine to be terminated. */
export interface MachineTermination {
  machine: Machine;
  reason: DrainReason;
}

/**
 * Missed heartbeats, with their jitter, that show that a spot machine was taken
 * after its preemption notice ran out (docs/limits-history.md, "Where the time goes").
 */
const PREEMPTED_AFTER_HEARTBEATS = 1.5;
/** A zone is live while the latest heartbeat of any of its machines is no older than this many intervals. */
const LIVE_ZONE_HEARTBEATS = 1.5;
/**
 * A zone that is live again is given this many times the unreachable time for
 * its agents to come back one after the other (docs/design.md, "Paused processes").
 */
const ZONE_RECOVERY_RATIO = 1.5;
/** Agent leases that a machine is given while its whole zone is unreachable. */
const UNREACHABLE_ZONE_LEASES = 2;

/**
 * Terminates idle machines that no demand is allocated to, and those that are
 * unreachable, unresponsive, quarantined or never booted. Termination is also
 * the way to prove that what an unreachable machine ran has ended.
 */
export class ScaleInPlanner {
  constructor(private readonly cluster: ClusterState) {}

  /** Machines to be terminated now, with the reason. */
  plan(now: number): MachineTermination[] {
    const terminations: MachineTermination[] = [];
    const conditions = fleetConditions(this.cluster, now);
    for (const machine of this.cluster.machines.values()) {
      const reason = this.reasonFor(machine, conditions, now);
      if (reason) terminations.push({ machine, reason });
    }
    return terminations;
  }

  private reasonFor(
    machine: Machine,
    conditions: FleetConditions,
    now: number,
  ): DrainReason | null {
    if (machine.upAt === null) return this.hasBootTimedOut(machine, now) ? 'boot timeout' : null;
    if (machine.missingFromList || this.wasPreempted(machine, now)) return 'missing from list';
    if (conditions.blockingInherited.has(machine)) return 'unreachable';
    if (this.isUnreachable(machine, now))
      return this.isUnreachableForGood(machine, conditions, now) ? 'unreachable' : null;
    return this.reasonForReachable(machine, conditions, now);
  }

  private reasonForReachable(
    machine: Machine,
    conditions: FleetConditions,
    now: number,
  ): DrainReason | null {
    if (machine.drainReason === 'quarantined') return 'quarantined';
    if (conditions.unresponsiveAreFew && this.isUnresponsiveTooLong(machine, now))
      return 'unresponsive';
    if (mayRunTasks(machine)) return null;
    return machine.drainReason ?? (this.isIdleTooLong(machine, now) ? 'idle' : null);
  }

  private hasBootTimedOut(machine: Machine, now: number): boolean {
    return now - machine.provisionedAt > usualBootMs(machine) * this.cluster.policy.bootPatience;
  }

  /** Its preemption notice has run out and its heartbeats have stopped. */
  private wasPreempted(machine: Machine, now: number): boolean {
    return (
      machine.preemptionNoticeUntil !== null &&
      now > machine.preemptionNoticeUntil &&
      now - machine.lastHeartbeatAt > this.cluster.timing.heartbeatMs * PREEMPTED_AFTER_HEARTBEATS
    );
  }

  private isUnreachable(machine: Machine, now: number): boolean {
    return now - this.cluster.silentSince(machine) > this.cluster.timing.unreachableAfterMs;
  }

  /**
   * An unreachable machine is fenced by its termination while the rest of its
   * zone is live. When many of the zone become unreachable at once, a partition
   * is likelier than their failure: each is given an agent lease to find its way
   * round, after which its tasks have ended in any case. While the whole zone is
   * unreachable, nobody can have found a way yet: its machines are given as long
   * as new ones would take. When it is live again, its agents come back one
   * after the other. docs/limits-history.md, "Tried without help", has a trial with more
   * patience for a zone of which many are unreachable.
   */
  private isUnreachableForGood(
    machine: Machine,
    conditions: FleetConditions,
    now: number,
  ): boolean {
    const { heartbeatMs, unreachableAfterMs, agentLeaseMs } = this.cluster.timing;
    const silentMs = now - this.cluster.silentSince(machine);
    if (silentMs <= unreachableAfterMs) return false;
    const zone = this.cluster.zoneLiveness.get(machine.zone);
    const liveMs = heartbeatMs * LIVE_ZONE_HEARTBEATS;
    const isLiveSince = zone && zone.last > machine.lastHeartbeatAt + liveMs;
    if (isLiveSince && now - zone.last <= liveMs) {
      const isZoneRecovering =
        zone.since > machine.lastHeartbeatAt &&
        now - zone.since <= unreachableAfterMs * ZONE_RECOVERY_RATIO;
      if (isZoneRecovering) return false;
      return (
        !conditions.zonesWithManyUnreachable.has(machine.zone) ||
        silentMs > agentLeaseMs + heartbeatMs
      );
    }
    const bootMs = (machine.type?.bootS ?? 0) * 1000;
    return silentMs > Math.max(agentLeaseMs * UNREACHABLE_ZONE_LEASES, bootMs + agentLeaseMs);
  }

  /** Nothing sent to it has an effect although its heartbeats arrive: only its termination frees what it runs. */
  private isUnresponsiveTooLong(machine: Machine, now: number): boolean {
    return (
      machine.unresponsiveSince !== null &&
      !machine.relayed &&
      now - machine.unresponsiveSince > this.cluster.timing.agentLeaseMs
    );
  }

  /** docs/limits-history.md, "Tried without help", has trials with less patience than the default. */
  private isIdleTooLong(machine: Machine, now: number): boolean {
    const idleMs = now - machine.idleSince;
    const patienceMs = usualBootMs(machine) * this.cluster.policy.idleBoots;
    return machine.confirmed && machine.scaleInCandidate && idleMs > patienceMs;
  }
}

/** It runs tasks, or it is not known yet whether it does. */
function mayRunTasks(machine: Machine): boolean {
  return machine.attempts.size > 0 || machine.inherited || machine.hasUnknownTasks;
}
