import { allowed } from '../placement/feasibility.js';
import { wantsRoom } from '../placement/ready-queue.js';
import type { Cluster } from '../state/cluster-state.js';
import { type Drain, kindKey, type Machine } from '../state/machine.js';

/** A machine that should go back to the cloud. */
export interface MachineReturn {
  machine: Machine;
  why: Drain;
}

/** Missed reports, with their jitter, that show a machine taken whose notice has run out. */
const NOTICE_REPORTS = 1.5;
/** When more than this part of a fleet or zone seems deaf or dead at once, it is the way there that is broken. */
const MANY_SHARE = 0.2;
/** Report intervals after a takeover in which a worker that can be reached has reported under the new token. */
const CONFIRM_REPORTS = 2;
/** The same for one that gave no answer to a direct question either: an interval with its jitter, and a redirection. */
const UNANSWERED_REPORTS = 1.4;

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
export class Returns {
  constructor(private readonly cluster: Cluster) {}

  /** Machines that should go back to the cloud now, with the reason. */
  due(now: number): MachineReturn[] {
    const out: MachineReturn[] = [];
    const signs = {
      deafMayGo: this.deafAreFew(),
      manySilent: this.zonesWithManySilent(now),
      holdsUp: this.holdersUp(now),
    };
    for (const machine of this.cluster.machines.values()) {
      const why = this.reason(machine, signs, now);
      if (why) out.push({ machine, why });
    }
    return out;
  }

  private reason(machine: Machine, signs: FleetSigns, now: number): Drain | null {
    const { policy, timing } = this.cluster;
    if (machine.upAt === null)
      return now - machine.rentedAt > bootMs(machine) * policy.bootPatience ? 'no boot' : null;
    if (machine.missing || this.taken(machine, now)) return 'missing';
    if (signs.holdsUp.has(machine)) return 'silent';
    if (now - this.cluster.silentFrom(machine) > timing.silentMs)
      return this.deadLongEnough(machine, signs.manySilent, now) ? 'silent' : null;
    return this.reasonWhileHeard(machine, signs, now);
  }

  private reasonWhileHeard(machine: Machine, signs: FleetSigns, now: number): Drain | null {
    if (machine.drain === 'sick') return 'sick';
    if (signs.deafMayGo && this.deafTooLong(machine, now)) return 'deaf';
    if (machine.bindings.size > 0 || machine.inherited || machine.strays) return null;
    return machine.drain ?? (this.idleTooLong(machine, now) ? 'idle' : null);
  }

  private idleTooLong(machine: Machine, now: number): boolean {
    const idleMs = now - machine.idleSince;
    const { idleBoots } = this.cluster.policy;
    return machine.confirmed && machine.surplus && idleMs > bootMs(machine) * idleBoots;
  }

  /** It hears nothing although its reports arrive: what it runs and holds can only be had back by a return. */
  private deafTooLong(m: Machine, now: number): boolean {
    return (
      m.unresponsiveSince !== null &&
      !m.relayed &&
      now - m.unresponsiveSince > this.cluster.timing.workerLeaseMs
    );
  }

  /** When many are deaf at once, it is we who can't be heard: none of them is to blame. */
  private deafAreFew(): boolean {
    let up = 0;
    let deaf = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.upAt === null) continue;
      up++;
      if (m.unresponsiveSince !== null) deaf++;
    }
    return deaf <= Math.max(1, up * MANY_SHARE);
  }

  /** Its notice has run out and it has fallen silent. */
  private taken(m: Machine, now: number): boolean {
    const { reportMs } = this.cluster.timing;
    return (
      m.noticeUntil !== null &&
      now > m.noticeUntil &&
      now - m.lastReport > reportMs * NOTICE_REPORTS
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
  private deadLongEnough(m: Machine, manySilent: Set<string>, now: number): boolean {
    const { reportMs, silentMs, workerLeaseMs } = this.cluster.timing;
    const silent = now - this.cluster.silentFrom(m);
    if (silent <= silentMs) return false;
    const zone = this.cluster.heard.get(m.zone);
    const heard = zone && zone.last > m.lastReport + reportMs * 1.5;
    if (heard && now - zone.last <= reportMs * 1.5) {
      if (zone.since > m.lastReport && now - zone.since <= silentMs * 1.5) return false;
      return !manySilent.has(m.zone) || silent > workerLeaseMs + reportMs;
    }
    return silent > Math.max(workerLeaseMs * 2, (m.type?.bootS ?? 0) * 1000 + workerLeaseMs);
  }

  /**
   * After a takeover: the last few machines that neither confirm by a command
   * nor report under the new token, while inherited work that they may hold
   * waits. Waiting on costs more than what they run, so they are fenced. While
   * many of a zone are missing, a cut keeps them, and their tasks live on.
   */
  private holdersUp(now: number): Set<Machine> {
    const { late, up } = this.unconfirmedByZone();
    const out = new Set<Machine>();
    const waiting = new Map<string, number>();
    for (const [zone, machines] of late) {
      if (machines.length > Math.max(1, (up.get(zone) ?? 0) * MANY_SHARE)) continue;
      for (const machine of machines) {
        if (!this.shouldHaveConfirmed(machine, now)) continue;
        const key = kindKey(machine.typeName, machine.zone, machine.spot);
        const cpus = waiting.get(key) ?? this.inheritedCpusFor(machine, now);
        waiting.set(key, cpus);
        if (cpus >= (machine.type?.cpus ?? 0)) out.add(machine);
      }
    }
    return out;
  }

  private shouldHaveConfirmed(machine: Machine, now: number): boolean {
    const patience = machine.unanswered ? UNANSWERED_REPORTS : CONFIRM_REPORTS;
    const silent = now - this.cluster.silentFrom(machine);
    return silent > this.cluster.timing.reportMs * patience;
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
  private inheritedCpusFor(m: Machine, now: number): number {
    let cpus = 0;
    for (const job of this.cluster.jobs.values())
      if (job.inherited && wantsRoom(job, now) && allowed(m, job.spec))
        cpus += job.ready * job.spec.cpus;
    return cpus;
  }

  private zonesWithManySilent(now: number): Set<string> {
    const zones = new Map<string, { up: number; silent: number }>();
    for (const m of this.cluster.machines.values()) {
      if (m.upAt === null || m.missing) continue;
      const z = zones.get(m.zone) ?? { up: 0, silent: 0 };
      zones.set(m.zone, z);
      z.up++;
      if (now - this.cluster.silentFrom(m) > this.cluster.timing.silentMs) z.silent++;
    }
    const many = [...zones].filter(([, z]) => z.silent > Math.max(1, z.up * MANY_SHARE));
    return new Set(many.map(([zone]) => zone));
  }
}

/** How long machines of its type usually take to boot; of an unknown type, a guess. */
function bootMs(machine: Machine): number {
  return (machine.type?.bootS ?? 60) * 1000;
}
