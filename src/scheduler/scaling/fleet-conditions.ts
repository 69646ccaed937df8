/** Conditions of the whole fleet that decide how a single failing machine is treated. */
import { machinePoolKey } from '../../model/machine.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/task-attempt.js';

/**
 * When more than this share of all machines, or of those in a zone, seems
 * unresponsive or unreachable at once, the cause is assumed to be the network
 * (docs/design.md, "Network partitions" and "Late, one-way, isolated, quick").
 */
const MASS_OUTAGE_SHARE = 0.2;
/**
 * Heartbeat intervals after a failover within which a reachable agent sends a
 * heartbeat with the new fencing token: one to receive the token in a response, and
 * one to send the next heartbeat.
 */
const CONFIRM_HEARTBEATS = 2;
/**
 * Limit that replaces `CONFIRM_HEARTBEATS` for an agent that also did not reply to
 * a direct command: one interval with its jitter, and a redirect.
 */
const UNANSWERED_CONFIRM_HEARTBEATS = 1.4;

/** The conditions of the fleet at one time. */
export interface FleetConditions {
  /** True if the unresponsive machines are few enough that each is assumed to be faulty itself. */
  unresponsiveAreFew: boolean;
  /** Zones in which many machines are unreachable. */
  zonesWithManyUnreachable: ReadonlySet<string>;
  /** Unconfirmed machines that have blocked inherited work for too long. */
  blockingInheritedWork: ReadonlySet<Machine>;
}

/** The number of machines of a zone that are up, and how many of those are unreachable. */
interface ZoneCounts {
  up: number;
  unreachable: number;
}

/** The number of machines of a zone that are up, and those of them that are not confirmed. */
interface ZoneMachines {
  up: number;
  unconfirmed: Machine[];
}

/** Evaluates the conditions from the current state of all machines. */
export function fleetConditions(cluster: ClusterState, now: number): FleetConditions {
  return {
    unresponsiveAreFew: unresponsiveAreFew(cluster),
    zonesWithManyUnreachable: zonesWithManyUnreachable(cluster, now),
    blockingInheritedWork: machinesBlockingInheritedWork(cluster, now),
  };
}

/** Reports whether `affected` of `up` machines are too many to have failed independently. */
function isMassOutage(affected: number, up: number): boolean {
  return affected > Math.max(1, up * MASS_OUTAGE_SHARE);
}

/**
 * Reports whether so few machines are unresponsive that each is assumed to be
 * faulty. When many are at once, this leader probably can't reach them, and none of
 * them is faulty.
 */
function unresponsiveAreFew(cluster: ClusterState): boolean {
  let up = 0;
  let unresponsive = 0;
  for (const machine of cluster.machines.values()) {
    if (machine.upAt === null) continue;
    up++;
    if (machine.unresponsiveSince !== null) unresponsive++;
  }
  return !isMassOutage(unresponsive, up);
}

function zonesWithManyUnreachable(cluster: ClusterState, now: number): Set<string> {
  const countsByZone = new Map<string, ZoneCounts>();
  for (const machine of cluster.machines.values()) {
    if (machine.upAt === null || machine.missingFromList) continue;
    const counts = countsByZone.get(machine.zone) ?? { up: 0, unreachable: 0 };
    countsByZone.set(machine.zone, counts);
    counts.up++;
    if (now - cluster.silentSince(machine) > cluster.timing.unreachableAfterMs)
      counts.unreachable++;
  }
  const zones = new Set<string>();
  for (const [zone, { up, unreachable }] of countsByZone)
    if (isMassOutage(unreachable, up)) zones.add(zone);
  return zones;
}

/**
 * Returns the machines to fence after a failover because they block inherited
 * work that they may be running: they neither confirmed by a direct command nor
 * sent a heartbeat with the new fencing token in time. Waiting longer would cost
 * more than the tasks they run.
 *
 * While many machines of a zone are unconfirmed, the cause is probably a network
 * partition and their tasks are still running, so none of them is fenced.
 */
function machinesBlockingInheritedWork(cluster: ClusterState, now: number): Set<Machine> {
  const blocking = new Set<Machine>();
  const blockedCpusByPool = new Map<string, number>();
  for (const { up, unconfirmed } of unconfirmedByZone(cluster).values()) {
    if (isMassOutage(unconfirmed.length, up)) continue;
    for (const machine of unconfirmed) {
      if (!shouldHaveConfirmed(cluster, machine, now)) continue;
      const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
      const cpus = blockedCpusByPool.get(key) ?? blockedInheritedCpus(cluster, machine, now);
      blockedCpusByPool.set(key, cpus);
      if (cpus >= (machine.type?.cpus ?? 0)) blocking.add(machine);
    }
  }
  return blocking;
}

function unconfirmedByZone(cluster: ClusterState): Map<string, ZoneMachines> {
  const zones = new Map<string, ZoneMachines>();
  for (const machine of cluster.machines.values()) {
    if (machine.upAt === null) continue;
    const zone = zones.get(machine.zone) ?? { up: 0, unconfirmed: [] };
    zones.set(machine.zone, zone);
    zone.up++;
    if (machine.inherited) zone.unconfirmed.push(machine);
  }
  return zones;
}

function shouldHaveConfirmed(cluster: ClusterState, machine: Machine, now: number): boolean {
  const limitHeartbeats = machine.confirmationUnanswered
    ? UNANSWERED_CONFIRM_HEARTBEATS
    : CONFIRM_HEARTBEATS;
  return now - cluster.silentSince(machine) > cluster.timing.heartbeatMs * limitHeartbeats;
}

/**
 * Returns the CPUs requested by the inherited work that may be running on a
 * machine of this pool. An unconfirmed machine is fenced only if that work
 * requests at least as many CPUs as the machine has.
 */
function blockedInheritedCpus(cluster: ClusterState, machine: Machine, now: number): number {
  let cpus = 0;
  for (const job of cluster.jobs.values())
    if (job.inherited && hasPlaceableTasks(job, now) && satisfiesConstraints(machine, job.spec))
      cpus += job.readyCount * job.spec.cpus;
  return cpus;
}
