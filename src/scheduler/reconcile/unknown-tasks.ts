/** Tracks tasks that machines list but that belong to no live job. */
import type { TaskStatus } from '../../model/heartbeat.js';
import type { ResourceUsage } from '../../model/resources.js';
import type { Machine } from '../state/task-attempt.js';

const NO_TASKS: readonly TaskStatus[] = [];

/**
 * Unknown tasks by machine, as of its last heartbeat. Heartbeat responses stop
 * them or let the agent forget them. Until then their resource usage is unknown,
 * so all remaining resources of the machine count as used.
 */
export class UnknownTasks {
  private readonly tasksByMachineId = new Map<string, readonly TaskStatus[]>();
  /** Machines that list unknown tasks that have not exited. */
  private readonly occupiedMachines = new Set<Machine>();

  /** Replaces the machine's unknown tasks with those of its last heartbeat. */
  record(machine: Machine, tasks: readonly TaskStatus[]): void {
    machine.hasUnknownTasks = tasks.some((task) => task.state !== 'exited');
    if (machine.hasUnknownTasks) this.occupiedMachines.add(machine);
    else this.occupiedMachines.delete(machine);
    if (tasks.length > 0) this.tasksByMachineId.set(machine.id, tasks);
    else this.tasksByMachineId.delete(machine.id);
  }

  /** Returns the unknown tasks of the machine's last heartbeat. */
  get(machine: Machine): readonly TaskStatus[] {
    return this.tasksByMachineId.get(machine.id) ?? NO_TASKS;
  }

  /** Removes a terminated machine, whose tasks have ended with it. */
  removeMachine(machine: Machine): void {
    this.tasksByMachineId.delete(machine.id);
    this.occupiedMachines.delete(machine);
  }

  /** Adds the maximum resource usage of the unknown tasks to `usage`. */
  addUsage(usage: ResourceUsage): void {
    for (const machine of this.occupiedMachines) {
      usage.cpus += (machine.type?.cpus ?? 0) - machine.usedCpus;
      usage.gpus += (machine.type?.gpus ?? 0) - machine.usedGpus;
    }
  }
}
