import { machinePoolKey } from '../../model/machine.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { DrainReason, Machine } from '../state/machine.js';

/** A machine that should go back to the cloud. */
export interface MachineTermination {
  machine: Machine;
  reason: DrainReason;
}

/** Missed reports, with their jitter, that show a machine taken whose notice has run out. */
const PREEMPTED_AFTER_HEARTBEATS = 1.5;
/** When more than this part of a fleet or zone seems deaf or dead at once, it is the way there that is broken. */
const MASS_OUTAGE_SHARE = 0.2;
/** Report intervals after a takeover in which a worker that can be reached has reported under the new token. */
const CONFIRM_HEARTBEATS = 2;
/** The same for one that gave no answer to a direct question either: an interval with its jitter, and a redirection. */
const UNANSWERED_HEARTBEATS = 1.4;

/** What the fleet as a whole shows, which the judgement of one machine rests on. */
interface FleetSigns {
  deafMayGo: boolean;
  manySilent: Set<string>;
  holdsUp: Set<Machine>;
}

/**
 * Which machines should go back to the cloud: idle ones that no need is laid
 * on, and those that are silent, unresponsive, sick or never booted. A return
 * is also the way to prove that what an unreachable machine held is gone.
 */
export class ScaleInPlanner {
  constructor(private readonly cluster: ClusterState) {}

  /** Machines that should go back to the cloud now, with the reason. */
  plan(now: number): MachineTermination[] {
    const out: MachineTermination[] = [];
    const signs = {
      deafMayGo: this.unresponsiveAreFew(),
      manySilent: this.zonesWithManyUnreachable(now),
      holdsUp: this.blockingInheritedMachines(now),
    };
    for (const machine of this.cluster.machines.values()) {
      const why = this.reason(machine, signs, now);
      if (why) out.push({ machine, reason: why });
    }
    return out;
  }

  private reason(machine: Machine, signs: FleetSigns, now: number): DrainReason | null {
    const { policy, timing } = this.cluster;
    if (machine.upAt === null)
      return now - machine.provisionedAt > bootMs(machine) * policy.bootPatience
        ? 'boot timeout'
        : null;
    if (machine.missingFromList || this.wasPreempted(machine, now)) return 'missing from list';
    if (signs.holdsUp.has(machine)) return 'unreachable';
    if (now - this.cluster.silentSince(machine) > timing.unreachableAfterMs)
      return this.isDeadLongEnough(machine, signs.manySilent, now) ? 'unreachable' : null;
    return this.reasonWhileHeard(machine, signs, now);
  }

  private reasonWhileHeard(machine: Machine, signs: FleetSigns, now: number): DrainReason | null {
    if (machine.drainReason === 'quarantined') return 'quarantined';
    if (signs.deafMayGo && this.isUnresponsiveTooLong(machine, now)) return 'unresponsive';
    if (machine.attempts.size > 0 || machine.inherited || machine.hasUnknownTasks) return null;
    return machine.drainReason ?? (this.idleTooLong(machine, now) ? 'idle' : null);
  }

  private idleTooLong(machine: Machine, now: number): boolean {
    const idleMs = now - machine.idleSince;
    const { idleBoots } = this.cluster.policy;
    return machine.confirmed && machine.scaleInCandidate && idleMs > bootMs(machine) * idleBoots;
  }

  /** It hears nothing although its reports arrive: what it runs and holds can only be had back by a return. */
  private isUnresponsiveTooLong(machine: Machine, now: number): boolean {
    return (
      machine.unresponsiveSince !== null &&
      !machine.relayed &&
      now - machine.unresponsiveSince > this.cluster.timing.agentLeaseMs
    );
  }

  /** When many are deaf at once, it is we who can't be heard: none of them is to blame. */
  private unresponsiveAreFew(): boolean {
    let up = 0;
    let deaf = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.upAt === null) continue;
      up++;
      if (machine.unresponsiveSince !== null) deaf++;
    }
    return deaf <= Math.max(1, up * MASS_OUTAGE_SHARE);
  }

  /** Its notice has run out and it has fallen silent. */
  private wasPreempted(machine: Machine, now: number): boolean {
    const { heartbeatMs: reportMs } = this.cluster.timing;
    return (
      machine.preemptionNoticeUntil !== null &&
      now > machine.preemptionNoticeUntil &&
      now - machine.lastHeartbeatAt > reportMs * PREEMPTED_AFTER_HEARTBEATS
    );
  }

  /**
   * A silent machine is fenced by returning it while the rest of its zone is
   * heard. When many of the zone fall silent at once, a cut is likelier than
   * their deaths: each is given a worker lease to find its way round, after
   * which its tasks have ended in any case. When all of the zone is silent,
   * nobody can have found a way yet: they are given as long as new ones would
   * take. When it is heard again, its workers come back one after the other.
   */
  private isDeadLongEnough(machine: Machine, manySilent: Set<string>, now: number): boolean {
    const {
      heartbeatMs: reportMs,
      unreachableAfterMs: silentMs,
      agentLeaseMs: workerLeaseMs,
    } = this.cluster.timing;
    const silent = now - this.cluster.silentSince(machine);
    if (silent <= silentMs) return false;
    const zone = this.cluster.zoneLiveness.get(machine.zone);
    const heard = zone && zone.last > machine.lastHeartbeatAt + reportMs * 1.5;
    if (heard && now - zone.last <= reportMs * 1.5) {
      if (zone.since > machine.lastHeartbeatAt && now - zone.since <= silentMs * 1.5) return false;
      return !manySilent.has(machine.zone) || silent > workerLeaseMs + reportMs;
    }
    return silent > Math.max(workerLeaseMs * 2, (machine.type?.bootS ?? 0) * 1000 + workerLeaseMs);
  }

  /**
   * After a takeover: the last few machines that neither confirm by a command
   * nor report under the new token, while inherited work that they may hold
   * waits. Waiting on costs more than what they run, so they are fenced. While
   * many of a zone are missing, a cut keeps them, and their tasks live on.
   */
  private blockingInheritedMachines(now: number): Set<Machine> {
    const { late, up } = this.unconfirmedByZone();
    const out = new Set<Machine>();
    const waiting = new Map<string, number>();
    for (const [zone, machines] of late) {
      if (machines.length > Math.max(1, (up.get(zone) ?? 0) * MASS_OUTAGE_SHARE)) continue;
      for (const machine of machines) {
        if (!this.shouldHaveConfirmed(machine, now)) continue;
        const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
        const cpus = waiting.get(key) ?? this.blockedInheritedCpus(machine, now);
        waiting.set(key, cpus);
        if (cpus >= (machine.type?.cpus ?? 0)) out.add(machine);
      }
    }
    return out;
  }

  private shouldHaveConfirmed(machine: Machine, now: number): boolean {
    const patience = machine.confirmationUnanswered ? UNANSWERED_HEARTBEATS : CONFIRM_HEARTBEATS;
    const silent = now - this.cluster.silentSince(machine);
    return silent > this.cluster.timing.heartbeatMs * patience;
  }

  /** By zone: machines that may hold inherited work, and how many machines are up. */
  private unconfirmedByZone(): { late: Map<string, Machine[]>; up: Map<string, number> } {
    const late = new Map<string, Machine[]>();
    const up = new Map<string, number>();
    for (const machine of this.cluster.machines.values()) {
      if (machine.upAt === null) continue;
      up.set(machine.zone, (up.get(machine.zone) ?? 0) + 1);
      if (!machine.inherited) continue;
      const zone = late.get(machine.zone);
      if (zone) zone.push(machine);
      else late.set(machine.zone, [machine]);
    }
    return { late, up };
  }

  /**
   * CPUs of the inherited work that a machine of this type, zone and kind may
   * hold. When it would fill the machine, were it free to start elsewhere, it
   * is waited for.
   */
  private blockedInheritedCpus(machine: Machine, now: number): number {
    let cpus = 0;
    for (const job of this.cluster.jobs.values())
      if (job.inherited && hasPlaceableTasks(job, now) && satisfiesConstraints(machine, job.spec))
        cpus += job.readyCount * job.spec.cpus;
    return cpus;
  }

  private zonesWithManyUnreachable(now: number): Set<string> {
    const zones = new Map<string, { up: number; silent: number }>();
    for (const machine of this.cluster.machines.values()) {
      if (machine.upAt === null || machine.missingFromList) continue;
      const z = zones.get(machine.zone) ?? { up: 0, silent: 0 };
      zones.set(machine.zone, z);
      z.up++;
      if (now - this.cluster.silentSince(machine) > this.cluster.timing.unreachableAfterMs)
        z.silent++;
    }
    const many = [...zones].filter(([, z]) => z.silent > Math.max(1, z.up * MASS_OUTAGE_SHARE));
    return new Set(many.map(([zone]) => zone));
  }
}

/** How long machines of its type usually take to boot; of an unknown type, a guess. */
function bootMs(machine: Machine): number {
  return (machine.type?.bootS ?? 60) * 1000;
}
