/**
 * Maps the platform's settings and the operators' properties to what the
 * scheduler and the agent commands of a leader term are configured with. Pure
 * functions: no state is owned here.
 */
import type { Policy } from '../../config/policy.js';
import type { Platform } from '../../config/settings.js';
import type { ClassObjectives, SchedulerPolicy, ServiceObjectives } from '../../model/policy.js';
import type { CommandSockets } from './agent-commands.js';

/** The share of all sockets for commands in flight; the connections are kept open for the next ones. */
const COMMAND_SOCKET_SHARE = 0.07;

/** The share of all sockets for confirmations after failover: a terminated machine occupies one until it times out. */
const CONFIRMATION_SOCKET_SHARE = 0.03;

/** The scheduler's policy from the operators' properties; docs/operations.md explains each key. */
export function schedulerPolicy(properties: Policy): SchedulerPolicy {
  return {
    weights: {
      throughput: properties['score.throughput'],
      cost: properties['score.cost'],
      locality: properties['score.locality'],
    },
    waitSafetyMargin: properties['rent.wait-spread'],
    safetyMargin: properties['rent.spread'],
    smoothingBoots: properties['rent.smooth-boots'],
    backlogBoots: properties['rent.drain-boots'],
    idleBoots: properties['rent.idle-boots'],
    bootPatience: properties['rent.boot-patience'],
    backoffBoots: properties['rent.backoff-boots'],
    quarantineJobs: properties['sick.jobs'],
    quarantineFailures: properties['sick.failures'],
    failingJobMachines: properties['job.faulty-machines'],
    startsPerMachine: properties['round.machine-starts'],
  };
}

/** How many sockets each kind of command of a leader may take. */
export function commandSocketsOf(platform: Platform): CommandSockets {
  return {
    commands: socketsOf(platform, COMMAND_SOCKET_SHARE),
    confirmations: socketsOf(platform, CONFIRMATION_SOCKET_SHARE),
  };
}

/** How many sockets all commands of a leader may take together. */
export function totalCommandSockets(platform: Platform): number {
  const { commands, confirmations } = commandSocketsOf(platform);
  return commands + confirmations;
}

function socketsOf(platform: Platform, share: number): number {
  return Math.ceil(platform.settings.quota.max_sockets * share);
}

type Objectives = Platform['settings']['objectives'];
type Objective = NonNullable<Objectives>[number];

/** The service-level objectives of the settings, by job class. */
export function serviceObjectivesOf(objectives: Objectives): ServiceObjectives {
  const result: ServiceObjectives = { classes: new Map(), guaranteedStartS: null };
  for (const objective of objectives ?? []) {
    if (objective.kind === 'guarantee') result.guaranteedStartS = objective.within_s ?? null;
    if (!objective.class) continue;
    const ofClass = result.classes.get(objective.class) ?? {
      startWithinS: [],
      finishWithinS: [],
      deadlineMultiples: [],
    };
    result.classes.set(objective.class, ofClass);
    addObjective(ofClass, objective);
  }
  return result;
}

function addObjective(
  ofClass: ClassObjectives,
  { kind, within_s: withinS, times }: Objective,
): void {
  if (kind === 'wait' && withinS) ofClass.startWithinS.push(withinS);
  else if (kind === 'finished' && withinS) ofClass.finishWithinS.push(withinS);
  else if (kind === 'deadline') ofClass.deadlineMultiples.push(times ?? 1);
}
