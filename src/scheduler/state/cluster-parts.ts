/** Creates the parts of the cluster state and connects them. */
import type { SchedulerPolicy, SchedulerTiming, ServiceObjectives } from '../../model/policy.js';
import type { TeamQuota } from '../../model/resources.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { Roster } from '../persistence/roster.js';
import { AgentResponsiveness } from '../reconcile/agent-responsiveness.js';
import { FailureAttribution } from '../reconcile/failure-attribution.js';
import { HeartbeatReconciliation } from '../reconcile/heartbeat-reconciliation.js';
import { InheritedMachines } from '../reconcile/inherited-machines.js';
import { MachineListReconciliation } from '../reconcile/machine-list-reconciliation.js';
import { MachineTombstones } from '../reconcile/machine-tombstones.js';
import { PreemptionNotices } from '../reconcile/preemption-notices.js';
import { TaskExits } from '../reconcile/task-exits.js';
import { TaskListReconciliation } from '../reconcile/task-list-reconciliation.js';
import { UnknownTasks } from '../reconcile/unknown-tasks.js';
import type { DecisionLogger } from './decision-log.js';
import { JobRegistry } from './job-registry.js';
import { LeaderLag } from './leader-lag.js';
import { MachineRegistry } from './machine-registry.js';
import { QuotaUsage } from './quota-usage.js';
import { RoundTrigger } from './round-trigger.js';
import { TaskAttempts } from './task-attempts.js';
import { WorkEstimates } from './work-estimates.js';
import { ZoneLivenessTracker } from './zone-liveness.js';

/** Tombstones are kept for this multiple of the time for which the cloud's list may still show a terminated machine. */
const TOMBSTONE_RETENTION_RATIO = 10;
/** Maximum size of a roster page in bytes, unless the settings specify another. */
const DEFAULT_ROSTER_PAGE_BYTES = 4096;

/** Options for the cluster state of one leader term. */
export interface ClusterOptions {
  /** The leader term, which is the high part of fencing tokens and attempt numbers. */
  term: number;
  /** Quotas by team. */
  quotas: Map<string, TeamQuota>;
  timing: SchedulerTiming;
  policy: SchedulerPolicy;
  objectives: ServiceObjectives;
  bitmaps: BitmapLayout;
  logDecision: DecisionLogger;
  /** Maximum size of the members of a roster page, in bytes. */
  rosterPageBytes?: number;
}

/** The parts that own the state. Each piece of state has exactly one owner. */
export interface StateParts {
  roundTrigger: RoundTrigger;
  quota: QuotaUsage;
  attempts: TaskAttempts;
  estimates: WorkEstimates;
  jobs: JobRegistry;
  machines: MachineRegistry;
  inheritedMachines: InheritedMachines;
  unknownTasks: UnknownTasks;
  responsiveness: AgentResponsiveness;
  zoneLiveness: ZoneLivenessTracker;
  leaderLag: LeaderLag;
}

/** Creates the parts that own the state. They are empty at first. */
export function createStateParts(options: ClusterOptions): StateParts {
  const { term, timing, objectives, bitmaps, logDecision } = options;
  const roundTrigger = new RoundTrigger();
  const quota = new QuotaUsage();
  const attempts = new TaskAttempts(term, quota, roundTrigger);
  const estimates = new WorkEstimates(objectives);
  const inheritedMachines = new InheritedMachines();
  const unknownTasks = new UnknownTasks();
  const responsiveness = new AgentResponsiveness(roundTrigger);
  const machines = new MachineRegistry({
    attempts,
    inheritedMachines,
    unknownTasks,
    responsiveness,
    roster: new Roster(term, options.rosterPageBytes ?? DEFAULT_ROSTER_PAGE_BYTES),
    tombstones: new MachineTombstones(timing.listProofMs * TOMBSTONE_RETENTION_RATIO),
    roundTrigger,
    logDecision,
  });
  return {
    roundTrigger,
    quota,
    attempts,
    estimates,
    jobs: new JobRegistry({ attempts, estimates, bitmaps, roundTrigger }),
    machines,
    inheritedMachines,
    unknownTasks,
    responsiveness,
    zoneLiveness: new ZoneLivenessTracker(timing.heartbeatMs),
    leaderLag: new LeaderLag(timing),
  };
}

/** Creates the reconciliation that applies heartbeats to the parts. */
export function createHeartbeatReconciliation(
  options: ClusterOptions,
  parts: StateParts,
): HeartbeatReconciliation {
  const { term, timing, policy, bitmaps, logDecision } = options;
  const { attempts, estimates, machines, unknownTasks, responsiveness } = parts;
  const failures = new FailureAttribution({ timing, policy, machines, logDecision });
  const exits = new TaskExits({ timing, bitmaps, attempts, estimates, failures });
  return new HeartbeatReconciliation({
    term,
    machines,
    attempts,
    taskLists: new TaskListReconciliation({
      jobs: parts.jobs.jobs,
      attempts,
      exits,
      unknownTasks,
      responsiveness,
    }),
    preemptionNotices: new PreemptionNotices(machines, attempts, estimates, logDecision),
    responsiveness,
    zoneLiveness: parts.zoneLiveness,
    roundTrigger: parts.roundTrigger,
    logDecision,
  });
}

/** Creates the reconciliation that applies the cloud's machine list to the parts. */
export function createMachineListReconciliation(
  options: ClusterOptions,
  parts: StateParts,
): MachineListReconciliation {
  return new MachineListReconciliation(parts.machines, options.timing, options.logDecision);
}
