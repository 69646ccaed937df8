/**
 * Maps the platform's settings and the operators' properties to the configuration
 * of the scheduler and the agent commands of a leader term. All functions are
 * pure.
 */
import type { Policy } from '../../config/policy.js';
import type { PlatformSettings } from '../../config/settings.js';
import type { ClassObjectives, SchedulerPolicy, ServiceObjectives } from '../../model/policy.js';
import type { CommandSockets } from './agent-commands.js';

/**
 * Share of all sockets for commands in flight; the connections are kept open for
 * later commands.
 */
const COMMAND_SOCKET_SHARE = 0.07;

/**
 * Share of all sockets for confirmations after failover. A terminated machine
 * occupies one until its request times out.
 */
const CONFIRMATION_SOCKET_SHARE = 0.03;

/**
 * Returns the scheduler's policy for the operators' properties;
 * docs/operations.md explains each key.
 */
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
    bootTimeoutBoots: properties['rent.boot-patience'],
    backoffBoots: properties['rent.backoff-boots'],
    quarantineJobs: properties['sick.jobs'],
    quarantineFailures: properties['sick.failures'],
    failingJobMachines: properties['job.faulty-machines'],
    roundStartLimit: properties['round.machine-starts'],
  };
}

/** Returns how many sockets each kind of a leader's commands may use. */
export function commandSocketsOf(platform: PlatformSettings): CommandSockets {
  return {
    commands: socketsOf(platform, COMMAND_SOCKET_SHARE),
    confirmations: socketsOf(platform, CONFIRMATION_SOCKET_SHARE),
  };
}

/** Returns how many sockets all commands of a leader may use together. */
export function totalCommandSockets(platform: PlatformSettings): number {
  const { commands, confirmations } = commandSocketsOf(platform);
  return commands + confirmations;
}

function socketsOf(platform: PlatformSettings, share: number): number {
  return Math.ceil(platform.settings.quota.max_sockets * share);
}

type Objectives = PlatformSettings['settings']['objectives'];
type Objective = NonNullable<Objectives>[number];

/** Returns the service-level objectives of the settings by job class. */
export function serviceObjectivesOf(objectives: Objectives): ServiceObjectives {
  const result: ServiceObjectives = { classes: new Map(), guaranteedStartS: null };
  for (const objective of objectives ?? []) {
    if (objective.kind === 'guarantee') result.guaranteedStartS = objective.within_s ?? null;
    if (!objective.class) continue;
    const classObjectives = result.classes.get(objective.class) ?? {
      startWithinS: [],
      finishWithinS: [],
      deadlineMultiples: [],
    };
    result.classes.set(objective.class, classObjectives);
    addObjective(classObjectives, objective);
  }
  return result;
}

function addObjective(
  classObjectives: ClassObjectives,
  { kind, within_s: withinS, times }: Objective,
): void {
  if (kind === 'wait' && withinS) classObjectives.startWithinS.push(withinS);
  else if (kind === 'finished' && withinS) classObjectives.finishWithinS.push(withinS);
  else if (kind === 'deadline') classObjectives.deadlineMultiples.push(times ?? 1);
}
