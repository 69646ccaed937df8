/** Application of the cloud's list of machines, the only proof that a silent machine is terminated. */
import type { ListedMachine } from '../../model/machine.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { Machine } from '../state/task-attempt.js';

/** A heartbeat interval with its jitter: silence for longer shows that a heartbeat was missed. */
const MISSED_HEARTBEATS = 1.5;

/**
 * Applies whole lists. Invariant: absence proves termination only once the
 * list can't be older than the machine's own listing.
 */
export class MachineListReconciliation {
  constructor(
    private readonly machines: MachineRegistry,
    private readonly timing: SchedulerTiming,
    private readonly logDecision: DecisionLogger,
  ) {}

  /** Applies a whole list that was requested at `requestedAt`. */
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

  /** A machine that never came up is registered all the same, so that its termination is acted on and logged. */
  private applyFailed(entry: ListedMachine, now: number): void {
    this.machines.register(entry, now);
    this.machines.markTerminated(entry.id, 'listed as failed', now);
  }

  private applyPresence(entry: ListedMachine, now: number): void {
    const { id, type, zone } = entry;
    const known = this.machines.get(id);
    if (!known) this.logDecision('unexpected machine adopted', { machine: id, type, zone });
    const machine = known ?? this.machines.register(entry, now);
    machine.missingFromList = false;
    if (entry.address) machine.address = entry.address;
    if (entry.state === 'running' && machine.upAt === null) {
      machine.upAt = now;
      machine.lastHeartbeatAt = now;
      machine.idleSince = now;
    }
  }

  /** A list that was requested after the machine's last heartbeat does not show it. */
  private applyAbsence(machine: Machine, requestedAt: number, now: number): void {
    // A machine is listed until it is terminated, and by now this one would have been listed.
    if (requestedAt > machine.knownAt + this.timing.listProofMs)
      this.machines.markTerminated(machine.id, 'absent from the list', now);
    // A young one may be up before the list shows it. Only silence up to the request counts: the
    // answer may have waited while this process was not running.
    else if (machine.inRoster && (machine.inherited || this.missedHeartbeat(machine, requestedAt)))
      machine.missingFromList = true;
  }

  private missedHeartbeat(machine: Machine, at: number): boolean {
    return at - machine.lastHeartbeatAt > this.timing.heartbeatMs * MISSED_HEARTBEATS;
  }
}
