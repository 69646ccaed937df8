/** Tasks that machines list and that belong to no live job. */
import type { TaskStatus } from '../../model/heartbeat.js';
import type { ResourceUsage } from '../../model/resources.js';
import type { Machine } from '../state/task-attempt.js';

const NO_TASKS: readonly TaskStatus[] = [];

/**
 * Unknown tasks by machine, as of its last heartbeat. The answers stop them or
 * let the agent forget them; until then what they use is not known, so all of
 * their machine's remaining resources count as used.
 */
export class UnknownTasks {
  private readonly byMachine = new Map<string, readonly TaskStatus[]>();
  /** Machines that list unknown tasks which have not exited. */
  private readonly occupiedMachines = new Set<Machine>();

  /** The unknown tasks of a machine's last heartbeat; replaces those of the one before. */
  record(machine: Machine, tasks: readonly TaskStatus[]): void {
    machine.hasUnknownTasks = tasks.some((task) => task.state !== 'exited');
    if (machine.hasUnknownTasks) this.occupiedMachines.add(machine);
    else this.occupiedMachines.delete(machine);
    if (tasks.length > 0) this.byMachine.set(machine.id, tasks);
    else this.byMachine.delete(machine.id);
  }

  /** The unknown tasks that the machine listed last. */
  of(machine: Machine): readonly TaskStatus[] {
    return this.byMachine.get(machine.id) ?? NO_TASKS;
  }

  /** The machine is terminated, and its tasks with it. */
  removeMachine(machine: Machine): void {
    this.byMachine.delete(machine.id);
    this.occupiedMachines.delete(machine);
  }

  /** Adds to `usage` the most that unknown tasks may use. */
  addUsage(usage: ResourceUsage): void {
    for (const machine of this.occupiedMachines) {
      usage.cpus += (machine.type?.cpus ?? 0) - machine.usedCpus;
      usage.gpus += (machine.type?.gpus ?? 0) - machine.usedGpus;
    }
  }
}
