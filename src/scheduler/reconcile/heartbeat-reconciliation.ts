/** Applies heartbeats to the cluster state: ignores outdated ones, and records what the others prove. */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { RoundTrigger } from '../state/round-trigger.js';
import type { Machine } from '../state/task-attempt.js';
import type { TaskAttempts } from '../state/task-attempts.js';
import type { ZoneLivenessTracker } from '../state/zone-liveness.js';
import type { AgentResponsiveness } from './agent-responsiveness.js';
import type { HeartbeatSource } from './heartbeat-source.js';
import type { PreemptionNotices } from './preemption-notices.js';
import type { TaskListReconciliation } from './task-list-reconciliation.js';

/** Dependencies of `HeartbeatReconciliation`. */
export interface HeartbeatReconciliationOptions {
  term: number;
  machines: MachineRegistry;
  attempts: TaskAttempts;
  taskLists: TaskListReconciliation;
  preemptionNotices: PreemptionNotices;
  responsiveness: AgentResponsiveness;
  zoneLiveness: ZoneLivenessTracker;
  roundTrigger: RoundTrigger;
  logDecision: DecisionLogger;
}

/**
 * Applies heartbeats in the order of the agent's epoch and sequence number.
 * Invariants: a heartbeat older than the last one applied changes nothing. A new
 * agent epoch proves under any term that the tasks of the earlier epochs have
 * ended. Otherwise, only a heartbeat under this leader's own term proves anything
 * about tasks.
 */
export class HeartbeatReconciliation {
  private readonly term: number;
  private readonly machines: MachineRegistry;
  private readonly attempts: TaskAttempts;
  private readonly taskLists: TaskListReconciliation;
  private readonly preemptionNotices: PreemptionNotices;
  private readonly responsiveness: AgentResponsiveness;
  private readonly zoneLiveness: ZoneLivenessTracker;
  private readonly roundTrigger: RoundTrigger;
  private readonly logDecision: DecisionLogger;

  constructor(options: HeartbeatReconciliationOptions) {
    this.term = options.term;
    this.machines = options.machines;
    this.attempts = options.attempts;
    this.taskLists = options.taskLists;
    this.preemptionNotices = options.preemptionNotices;
    this.responsiveness = options.responsiveness;
    this.zoneLiveness = options.zoneLiveness;
    this.roundTrigger = options.roundTrigger;
    this.logDecision = options.logDecision;
  }

  /** Applies a heartbeat. Returns false when it is outdated or may be a delayed duplicate. */
  apply(heartbeat: Heartbeat, source: HeartbeatSource, now: number): boolean {
    // A delayed duplicate must not register a terminated machine again.
    if (this.machines.tombstones.has(heartbeat.machineId)) return false;
    const existing = this.machines.get(heartbeat.machineId);
    if (!existing && !this.provesExistence(heartbeat)) return false;
    const machine = existing ?? this.register(heartbeat, now);
    if (!isNewer(heartbeat, machine)) return false;
    if (heartbeat.agentEpoch > machine.agentEpoch)
      this.beginAgentEpoch(machine, heartbeat.agentEpoch, now);
    machine.lastSequence = heartbeat.sequence;
    machine.address = heartbeat.address;
    if (!machine.inRoster && !machine.rosterWritePending)
      this.machines.pendingRosterAdds.add(machine);
    if (heartbeat.term === this.term) this.applyCurrentTerm(machine, heartbeat, source, now);
    return true;
  }

  /**
   * Reports whether the heartbeat of an unknown machine proves that the machine
   * exists. Only a heartbeat under this leader's own term can't be a delayed
   * duplicate from an earlier term; an older one proves neither that the machine
   * is alive nor that it exists. The response to an older one raises the agent's
   * fencing token, and the agent sends its next heartbeat at once.
   */
  private provesExistence(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.term === this.term && !this.machines.tombstones.mayBeTerminated(heartbeat.machineId)
    );
  }

  private register(heartbeat: Heartbeat, now: number): Machine {
    const { machineId: id, type, zone, spot } = heartbeat;
    return this.machines.register({ id, type, zone, spot, ageS: 0 }, now);
  }

  /** Handles an expired agent lease or a restarted machine: all tasks of the earlier epoch have ended. */
  private beginAgentEpoch(machine: Machine, agentEpoch: number, now: number): void {
    if (machine.agentEpoch > 0) {
      const lostTasks = this.attempts.releaseAll(machine);
      this.logDecision('new agent epoch', { machine: machine.id, agentEpoch, lostTasks });
      // Its heartbeats arrive, but no response renewed its lease: it must prove that commands reach it.
      this.responsiveness.markUnresponsive(machine, now);
    }
    machine.agentEpoch = agentEpoch;
    machine.confirmed = false;
  }

  /** Applies a heartbeat under this leader's own term: the machine is alive, and its task list is complete. */
  private applyCurrentTerm(
    machine: Machine,
    heartbeat: Heartbeat,
    source: HeartbeatSource,
    now: number,
  ): void {
    this.recordLiveness(machine, now);
    const newNotice = this.preemptionNotices.record(machine, heartbeat.preemptionNoticeS, now);
    this.confirm(machine);
    this.taskLists.reconcile(machine, heartbeat, source, now);
    // Follows the reconciliation, because it depends on the tasks that the machine lists.
    if (newNotice) this.preemptionNotices.evacuate(machine, heartbeat.preemptionNoticeS ?? 0, now);
  }

  private recordLiveness(machine: Machine, now: number): void {
    machine.lastHeartbeatAt = now;
    machine.missingFromList = false;
    this.zoneLiveness.recordHeartbeat(machine.zone, now);
    if (machine.upAt === null) {
      machine.upAt = now;
      machine.idleSince = now;
    }
    if (machine.drainReason === 'unreachable' || machine.drainReason === 'boot timeout')
      machine.drainReason = null;
  }

  /** Marks that the machine executes no more commands of earlier leaders, so that its task list is complete. */
  private confirm(machine: Machine): void {
    if (machine.confirmed) return;
    machine.confirmed = true;
    this.machines.inheritedMachines.resolve(machine);
    this.roundTrigger.request();
  }
}

function isNewer(heartbeat: Heartbeat, machine: Machine): boolean {
  if (heartbeat.agentEpoch !== machine.agentEpoch) return heartbeat.agentEpoch > machine.agentEpoch;
  return heartbeat.sequence > machine.lastSequence;
}
