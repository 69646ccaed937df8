/** What the machines as a whole show, which the judgement of one of them rests on. */
import { machinePoolKey } from '../../model/machine.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/task-attempt.js';

/**
 * When more than this share of the machines, or of a zone, seems unresponsive or
 * unreachable at once, it is the network that is at fault (docs/design.md,
 * "Network partitions" and "Late, one-way, isolated, quick").
 */
const MASS_OUTAGE_SHARE = 0.2;
/**
 * Heartbeat intervals after a failover within which a reachable agent has sent a
 * heartbeat under the new fencing token (docs/limits-history.md, "Where the time goes").
 */
const CONFIRM_HEARTBEATS = 2;
/**
 * The same for one that gave no answer to a direct command either: an interval
 * with its jitter, and a redirection (docs/limits-history.md, "Two troubles at once").
 */
const UNANSWERED_HEARTBEATS = 1.4;

/** The conditions at one time. */
export interface FleetConditions {
  /** Unresponsive machines are few enough to be at fault themselves. */
  unresponsiveAreFew: boolean;
  /** Zones of which many machines are unreachable. */
  zonesWithManyUnreachable: ReadonlySet<string>;
  /** Machines whose confirmation inherited work has waited for long enough. */
  blockingInherited: ReadonlySet<Machine>;
}

/** Machines of a zone that are up, and those of them that are in question. */
interface ZoneCounts {
  up: number;
  unreachable: number;
}

interface ZoneMachines {
  up: number;
  unconfirmed: Machine[];
}

/** Looks at all machines once. */
export function fleetConditions(cluster: ClusterState, now: number): FleetConditions {
  return {
    unresponsiveAreFew: unresponsiveAreFew(cluster),
    zonesWithManyUnreachable: zonesWithManyUnreachable(cluster, now),
    blockingInherited: blockingInherited(cluster, now),
  };
}

/** Whether `affected` machines of `up` are too many to have failed one by one. */
function isMassOutage(affected: number, up: number): boolean {
  return affected > Math.max(1, up * MASS_OUTAGE_SHARE);
}

/** When many are unresponsive at once, it is this leader that can't reach them: none of them is to blame. */
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
 * After a failover: the last few machines that neither confirm by a command nor
 * send a heartbeat under the new fencing token, while inherited work that they
 * may run waits for them. Waiting longer costs more than what they run, so they
 * are fenced. While many of a zone are unconfirmed, a partition keeps them away,
 * and their tasks live on.
 */
function blockingInherited(cluster: ClusterState, now: number): Set<Machine> {
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
  const patience = machine.confirmationUnanswered ? UNANSWERED_HEARTBEATS : CONFIRM_HEARTBEATS;
  return now - cluster.silentSince(machine) > cluster.timing.heartbeatMs * patience;
}

/**
 * CPUs of the inherited work that a machine of this pool may run. A machine is
 * waited for only while that work, were it free to start elsewhere, would not
 * fill it.
 */
function blockedInheritedCpus(cluster: ClusterState, machine: Machine, now: number): number {
  let cpus = 0;
  for (const job of cluster.jobs.values())
    if (job.inherited && hasPlaceableTasks(job, now) && satisfiesConstraints(machine, job.spec))
      cpus += job.readyCount * job.spec.cpus;
  return cpus;
}
