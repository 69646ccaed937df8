/** Scale-in: selects the machines to terminate, with the reasons. */
import type { ClusterState } from '../state/cluster-state.js';
import type { DrainReason } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import { expectedBootMs } from './boot-time.js';
import { type FleetConditions, fleetConditions } from './fleet-conditions.js';

/** A machine to be terminated. */
export interface MachineTermination {
  machine: Machine;
  reason: DrainReason;
}

/**
 * A spot machine whose preemption notice has expired counts as preempted when it
 * sends no heartbeat for this many intervals: one interval and its jitter.
 */
const PREEMPTED_AFTER_HEARTBEATS = 1.5;
/**
 * A zone is live while the last heartbeat from any of its machines is at most this
 * many intervals old.
 */
const LIVE_ZONE_HEARTBEATS = 1.5;
/**
 * After a zone becomes live again, its agents get this many times
 * `unreachableAfterMs` to reconnect, since they do so one after the other
 * (docs/design.md, "Paused processes").
 */
const ZONE_RECOVERY_RATIO = 1.5;
/**
 * Minimum time, in agent leases, before a machine is terminated while its whole zone
 * is unreachable.
 */
const UNREACHABLE_ZONE_LEASES = 2;

/**
 * Plans the termination of idle machines without allocated demand, and of
 * machines that are unreachable, unresponsive, quarantined or preempted, or have
 * failed to boot. The termination of an unreachable machine also proves that its tasks
 * have ended.
 */
export class ScaleInPlanner {
  constructor(private readonly cluster: ClusterState) {}

  /** Returns the machines to terminate now, with the reasons. */
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
    if (conditions.blockingInheritedWork.has(machine)) return 'unreachable';
    if (this.isUnreachable(machine, now))
      return this.isUnreachableTooLong(machine, conditions, now) ? 'unreachable' : null;
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
    return (
      now - machine.provisionedAt > expectedBootMs(machine) * this.cluster.policy.bootTimeoutBoots
    );
  }

  /**
   * Reports whether the machine's preemption notice has expired and its heartbeats
   * have stopped.
   */
  private wasPreempted(machine: Machine, now: number): boolean {
    return (
      machine.preemptionDueAt !== null &&
      now > machine.preemptionDueAt &&
      now - machine.lastHeartbeatAt > this.cluster.timing.heartbeatMs * PREEMPTED_AFTER_HEARTBEATS
    );
  }

  private isUnreachable(machine: Machine, now: number): boolean {
    return now - this.cluster.silentSince(machine) > this.cluster.timing.unreachableAfterMs;
  }

  /**
   * Reports whether an unreachable machine should be terminated, which fences it.
   *
   * - While the rest of its zone is live, the machine is terminated at once.
   * - While many machines of a live zone are unreachable, a network partition is
   *   more likely than independent failures. Each gets an agent lease and a
   *   heartbeat interval to reconnect through another controller, after which its
   *   tasks have ended in any case. A longer wait delays the replacement of lost
   *   machines, and their jobs miss deadlines.
   * - While a whole zone is unreachable, no agent can reconnect. Its machines get
   *   an agent lease and the time that replacements would take to boot, but at
   *   least `UNREACHABLE_ZONE_LEASES`.
   * - After a zone becomes live again, its agents reconnect one after the other
   *   and get time to do so.
   */
  private isUnreachableTooLong(
    machine: Machine,
    conditions: FleetConditions,
    now: number,
  ): boolean {
    const { heartbeatMs, unreachableAfterMs, agentLeaseMs } = this.cluster.timing;
    const silentMs = now - this.cluster.silentSince(machine);
    if (silentMs <= unreachableAfterMs) return false;
    const zone = this.cluster.zoneLiveness.get(machine.zone);
    const liveWindowMs = heartbeatMs * LIVE_ZONE_HEARTBEATS;
    const hasLaterZoneHeartbeat =
      zone && zone.lastHeartbeatAt > machine.lastHeartbeatAt + liveWindowMs;
    if (hasLaterZoneHeartbeat && now - zone.lastHeartbeatAt <= liveWindowMs) {
      const isZoneRecovering =
        zone.liveSince > machine.lastHeartbeatAt &&
        now - zone.liveSince <= unreachableAfterMs * ZONE_RECOVERY_RATIO;
      if (isZoneRecovering) return false;
      return (
        !conditions.zonesWithManyUnreachable.has(machine.zone) ||
        silentMs > agentLeaseMs + heartbeatMs
      );
    }
    const bootMs = (machine.type?.bootS ?? 0) * 1000;
    return silentMs > Math.max(agentLeaseMs * UNREACHABLE_ZONE_LEASES, bootMs + agentLeaseMs);
  }

  /**
   * Reports whether the machine has sent heartbeats without acting on commands for
   * longer than an agent lease. Only its termination then ends its tasks. A machine
   * whose heartbeats are relayed is exempt, because a network partition may block
   * the commands to it.
   */
  private isUnresponsiveTooLong(machine: Machine, now: number): boolean {
    return (
      machine.unresponsiveSince !== null &&
      !machine.relayed &&
      now - machine.unresponsiveSince > this.cluster.timing.agentLeaseMs
    );
  }

  /**
   * Reports whether the machine has been idle for longer than `idleBoots` boot
   * times. A shorter limit saves little cost and delays the start of the work that
   * arrives next.
   */
  private isIdleTooLong(machine: Machine, now: number): boolean {
    const idleMs = now - machine.idleSince;
    const idleLimitMs = expectedBootMs(machine) * this.cluster.policy.idleBoots;
    return machine.confirmed && machine.scaleInCandidate && idleMs > idleLimitMs;
  }
}

/** Reports whether the machine runs tasks or may run tasks that this leader does not know. */
function mayRunTasks(machine: Machine): boolean {
  return machine.attempts.size > 0 || machine.inherited || machine.hasUnknownTasks;
}
