/**
 * Schema of the platform's settings file, and values derived from it. The
 * platform defines the field names. Their suffixes give the unit: `_s` is
 * seconds, `_ms` milliseconds, `_kb` KiB, `_mb` MiB and `rps` requests per
 * second, except for `write_rps`, which is changes per second.
 */
import * as v from 'valibot';
import type { TeamQuota } from '../model/resources.js';

/** Thrown for an unusable file or setting. The message names the file, the field and what was expected. */
export class SettingsError extends Error {}

const positiveNumber = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const positiveInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const nonEmptyString = v.pipe(v.string(), v.nonEmpty());
const hostAndPort = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));

/** A service-level objective. Which of the other fields apply depends on `kind`. */
const Objective = v.object({
  /** `wait`, `finished`, `deadline` or `guarantee`; objectives of other kinds are ignored. */
  kind: nonEmptyString,
  /** The class of jobs that the objective applies to. */
  class: v.nullish(v.string()),
  within_s: v.nullish(nonNegativeNumber),
  /** The share of jobs that must meet the objective. */
  share: v.nullish(nonNegativeNumber),
  /** For `deadline`: the multiple of its deadline within which a job should be done. */
  times: v.nullish(nonNegativeNumber),
});

/** Limits of the state service that will replace the current ones at an unknown time, without notice. */
const AnnouncedLimits = v.object({
  /** Changes per second. */
  write_rps: v.nullish(positiveNumber),
  /** Size of a value in KiB. */
  value_kb: v.nullish(positiveNumber),
  /** Changes per transaction. */
  txn_ops: v.nullish(positiveInteger),
});

const SettingsSchema = v.object({
  /** This controller's name and zone. */
  node: nonEmptyString,
  zone: nonEmptyString,
  /** The address on which this controller listens for agents and users. */
  bind: hostAndPort,
  /** The address on which this controller listens for other controllers. */
  peer_listen: hostAndPort,
  /** The other controllers. */
  peers: v.array(v.object({ node: nonEmptyString, zone: nonEmptyString, address: hostAndPort })),
  external: v.object({ cloud: hostAndPort, state: hostAndPort }),
  settings: v.object({
    /** Number of controllers. */
    size: positiveInteger,
    zones: v.array(nonEmptyString),
    /** Quotas: each team's guaranteed resources and its maximum, where 0 means no maximum. */
    teams: v.array(
      v.object({
        name: nonEmptyString,
        cpus: nonNegativeNumber,
        cpus_max: nonNegativeNumber,
        gpus: nonNegativeNumber,
        gpus_max: nonNegativeNumber,
      }),
    ),
    objectives: v.nullish(v.array(Objective), []),
    /** Heartbeat interval and lease of the agents, and the time within which tasks of a cancelled job end. */
    workers: v.object({
      report_s: positiveNumber,
      lease_s: positiveNumber,
      cancel_s: positiveNumber,
    }),
    /** Limits of the state service. */
    state: v.object({
      rps: positiveNumber,
      write_rps: positiveNumber,
      value_kb: positiveNumber,
      txn_ops: positiveInteger,
      next: v.nullish(AnnouncedLimits),
    }),
    /** Rate limit of the cloud, and the lag of its list of machines. */
    cloud: v.object({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
    /** Resources that the platform grants this process. */
    quota: v.object({
      cpu: positiveNumber,
      memory_mb: positiveNumber,
      max_sockets: positiveInteger,
    }),
    skew_ms: nonNegativeNumber,
  }),
});

/**
 * The settings as they are in the file. `objectives` is empty when the file has
 * none; the other optional fields may be null or undefined.
 */
export type PlatformSettings = v.InferOutput<typeof SettingsSchema>;

/**
 * Parses and validates the settings. Unknown fields are ignored, so that later
 * versions of the platform can add some.
 *
 * @param file The file name for error messages.
 * @throws SettingsError that names the file, the field and what was expected.
 */
export function parsePlatformSettings(text: string, file: string): PlatformSettings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not JSON: ${(error as Error).message}`, { cause: error });
  }
  const result = v.safeParse(SettingsSchema, json, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`${file}: ${v.getDotPath(issue) ?? 'top level'}: ${issue.message}`);
  }
  return result.output;
}

/** Returns the teams' quotas by team name. */
export function quotasOf(platform: PlatformSettings): Map<string, TeamQuota> {
  return new Map(
    platform.settings.teams.map((team) => [
      team.name,
      {
        name: team.name,
        guaranteedCpus: team.cpus,
        guaranteedGpus: team.gpus,
        maxCpus: team.cpus_max,
        maxGpus: team.gpus_max,
      },
    ]),
  );
}

/** Splits an address that the schema has validated into host and port. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
