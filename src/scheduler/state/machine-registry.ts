/** The machines known to a leader, from their registration to their proven termination. */
import type { MachineType, RosterEntry } from '../../model/machine.js';
import type { Roster } from '../persistence/roster.js';
import type { AgentResponsiveness } from '../reconcile/agent-responsiveness.js';
import type { InheritedMachines } from '../reconcile/inherited-machines.js';
import type { MachineTombstones } from '../reconcile/machine-tombstones.js';
import type { UnknownTasks } from '../reconcile/unknown-tasks.js';
import type { DecisionLogger } from './decision-log.js';
import type { DrainReason } from './machine-state.js';
import type { RoundTrigger } from './round-trigger.js';
import { Machine } from './task-attempt.js';
import type { TaskAttempts } from './task-attempts.js';

/** The attributes with which a machine is registered. */
export interface MachineDescription {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Seconds since it was requested from the cloud. */
  ageS: number;
}

/** The parts that the registry uses. A terminated machine is removed from each of them. */
export interface MachineRegistryOptions {
  attempts: TaskAttempts;
  inheritedMachines: InheritedMachines;
  unknownTasks: UnknownTasks;
  responsiveness: AgentResponsiveness;
  roster: Roster;
  tombstones: MachineTombstones;
  roundTrigger: RoundTrigger;
  logDecision: DecisionLogger;
}

/**
 * Owns the machines and their types. Invariant: a machine is removed only when
 * its termination is proven, since its tasks are then started elsewhere.
 */
export class MachineRegistry {
  /** Machines that may exist, by id. */
  readonly machines = new Map<string, Machine>();
  /** The cloud's machine types by name. */
  readonly types = new Map<string, MachineType>();
  /** Machines that still have to be written to the durable roster. They get no tasks before that. */
  readonly pendingRosterAdds = new Set<Machine>();
  readonly roster: Roster;
  readonly tombstones: MachineTombstones;
  readonly inheritedMachines: InheritedMachines;
  /** Called with each machine whose termination is proven, before its tasks are released. */
  onTerminated: (machine: Machine) => void = () => {};
  private readonly attempts: TaskAttempts;
  private readonly unknownTasks: UnknownTasks;
  private readonly responsiveness: AgentResponsiveness;
  private readonly roundTrigger: RoundTrigger;
  private readonly logDecision: DecisionLogger;

  constructor(options: MachineRegistryOptions) {
    this.attempts = options.attempts;
    this.inheritedMachines = options.inheritedMachines;
    this.unknownTasks = options.unknownTasks;
    this.responsiveness = options.responsiveness;
    this.roster = options.roster;
    this.tombstones = options.tombstones;
    this.roundTrigger = options.roundTrigger;
    this.logDecision = options.logDecision;
  }

  /** Adds the cloud's machine types, or updates those that exist. */
  updateTypes(types: readonly MachineType[]): void {
    for (const type of types) {
      const existing = this.types.get(type.name);
      // Machines refer to the object, so it is updated in place.
      if (existing) Object.assign(existing, type);
      else this.types.set(type.name, type);
    }
  }

  /** Returns the machine with this id, or undefined when it is not registered. */
  get(id: string): Machine | undefined {
    return this.machines.get(id);
  }

  /** Registers a machine. Returns the existing one unchanged when it is registered already. */
  register({ id, type, zone, spot, ageS }: MachineDescription, now: number): Machine {
    const existing = this.machines.get(id);
    if (existing) return existing;
    const provisionedAt = now - Math.max(0, ageS) * 1000;
    const machineType = this.types.get(type) ?? null;
    const machine = new Machine(id, type, machineType, zone, spot, provisionedAt, now);
    this.machines.set(id, machine);
    return machine;
  }

  /** Registers a machine of the durable roster, to which an earlier leader may have assigned tasks. */
  inherit({ id, type, zone, spot, address }: RosterEntry, now: number): void {
    const machine = this.register({ id, type, zone, spot, ageS: 0 }, now);
    machine.address = address;
    machine.inRoster = true;
    machine.lastHeartbeatAt = now;
    machine.upAt = now;
    this.inheritedMachines.add(machine);
  }

  /** Removes a machine after proof that it has been terminated and that all tasks on it have ended. */
  markTerminated(id: string, reason: string, now: number): void {
    const machine = this.machines.get(id);
    this.tombstones.add(id, now);
    if (!machine) return;
    this.onTerminated(machine);
    const lostTasks = this.attempts.releaseAll(machine);
    this.remove(machine);
    this.roundTrigger.request();
    this.logDecision('machine terminated', {
      machine: id,
      reason,
      drain: machine.drainReason,
      lostTasks,
    });
  }

  private remove(machine: Machine): void {
    this.inheritedMachines.resolve(machine);
    this.machines.delete(machine.id);
    this.attempts.pendingCommands.delete(machine);
    this.responsiveness.pendingProbes.delete(machine);
    this.unknownTasks.removeMachine(machine);
    this.pendingRosterAdds.delete(machine);
    if (machine.inRoster || machine.rosterWritePending) this.roster.removeMachine(machine.id);
  }

  /** Stops new assignments to the machine. Tasks whose start has not been sent are placed elsewhere. */
  drain(machine: Machine, reason: DrainReason): void {
    if (machine.drainReason === reason) return;
    machine.drainReason = reason;
    this.attempts.releaseUnsent(machine);
    this.logDecision('machine drained', {
      machine: machine.id,
      reason,
      running: machine.attempts.size,
    });
  }
}
