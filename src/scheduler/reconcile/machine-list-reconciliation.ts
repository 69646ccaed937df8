/** Applies the cloud's machine list, the only proof that a machine without heartbeats is terminated. */
import type { ListedMachine } from '../../model/machine.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { Machine } from '../state/task-attempt.js';

/** Heartbeat intervals, including jitter, after which a heartbeat counts as missed. */
const MISSED_HEARTBEAT_INTERVALS = 1.5;

/**
 * Applies complete machine lists. Invariant: absence proves termination only
 * when the list can't be from before the machine was first listed.
 */
export class MachineListReconciliation {
  constructor(
    private readonly machines: MachineRegistry,
    private readonly timing: SchedulerTiming,
    private readonly logDecision: DecisionLogger,
  ) {}

  /** Applies a complete list that was requested at `requestedAt`. */
  apply(list: readonly ListedMachine[], requestedAt: number, now: number): void {
    const listedIds = new Set<string>();
    for (const entry of list) {
      listedIds.add(entry.id);
      if (!this.machines.tombstones.has(entry.id)) this.applyListed(entry, now);
    }
    for (const machine of [...this.machines.machines.values()])
      if (!listedIds.has(machine.id) && machine.lastHeartbeatAt < requestedAt)
        this.applyAbsence(machine, requestedAt, now);
  }

  private applyListed(entry: ListedMachine, now: number): void {
    if (entry.state === 'failed') this.applyFailed(entry, now);
    else this.applyPresence(entry, now);
  }

  /** Registers the machine even if it never came up, so that its termination is handled and logged. */
  private applyFailed(entry: ListedMachine, now: number): void {
    this.machines.register(entry, now);
    this.machines.markTerminated(entry.id, 'listed as failed', now);
  }

  private applyPresence(entry: ListedMachine, now: number): void {
    const { id, type, zone } = entry;
    const existing = this.machines.get(id);
    if (!existing) this.logDecision('unexpected machine adopted', { machine: id, type, zone });
    const machine = existing ?? this.machines.register(entry, now);
    machine.missingFromList = false;
    if (entry.address) machine.address = entry.address;
    if (entry.state === 'running' && machine.upAt === null) {
      machine.upAt = now;
      machine.lastHeartbeatAt = now;
      machine.idleSince = now;
    }
  }

  /** Handles a machine that is missing from a list requested after its last heartbeat. */
  private applyAbsence(machine: Machine, requestedAt: number, now: number): void {
    // The cloud lists a machine until it is terminated, and this one should be listed by now.
    if (requestedAt > machine.firstKnownAt + this.timing.listProofMs)
      this.machines.markTerminated(machine.id, 'absent from the list', now);
    // A new machine may be up before the list shows it. Only the time without heartbeats before the
    // request counts, since this process may have been paused before it read the response.
    else if (
      machine.inRoster &&
      (machine.inherited || this.hasMissedHeartbeat(machine, requestedAt))
    )
      machine.missingFromList = true;
  }

  private hasMissedHeartbeat(machine: Machine, at: number): boolean {
    return at - machine.lastHeartbeatAt > this.timing.heartbeatMs * MISSED_HEARTBEAT_INTERVALS;
  }
}
