/**
 * The platform's settings file: its schema, and values derived from it. Names
 * of fields are the platform's contract; fields in `_s` are seconds, in `_ms`
 * milliseconds, in `_kb` KiB, in `_mb` MiB, in `_rps` requests a second.
 */
import * as v from 'valibot';
import type { TeamQuota } from '../model/resources.js';

/** A file or setting that can't be used. The message names the file, the field and what was expected. */
export class SettingsError extends Error {}

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const name = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));

/** A service-level objective; which of the other fields count depends on `kind`. */
const Objective = v.object({
  /** `wait`, `finished`, `deadline` or `guarantee`; others are ignored. */
  kind: name,
  /** The class of jobs that it is about. */
  class: v.nullish(v.string()),
  within_s: v.nullish(amount),
  /** The share of jobs that has to meet it. */
  share: v.nullish(amount),
  /** The multiple of a job's deadline, for `deadline`. */
  times: v.nullish(amount),
});

/** Limits of the state service that will replace the present ones at some moment, without notice. */
const NextLimits = v.object({
  /** Changes a second. */
  write_rps: v.nullish(positive),
  /** Size of a value. */
  value_kb: v.nullish(positive),
  /** Changes in a transaction. */
  txn_ops: v.nullish(whole),
});

const Schema = v.object({
  /** This controller's name and zone. */
  node: name,
  zone: name,
  /** Where it listens for agents and users. */
  bind: address,
  /** Where it listens for other controllers. */
  peer_listen: address,
  /** The other controllers. */
  peers: v.array(v.object({ node: name, zone: name, address })),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    /** The number of controllers. */
    size: whole,
    zones: v.array(name),
    /** Quotas: what is guaranteed to a team, and its maximum. */
    teams: v.array(
      v.object({ name, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount }),
    ),
    objectives: v.nullish(v.array(Objective), []),
    /** Agents: interval of heartbeats, length of their leases, and the time within which tasks of a cancelled job end. */
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    /** Limits of the state service. */
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: whole,
      next: v.nullish(NextLimits),
    }),
    /** Limits of the cloud, and how old its list of machines may be. */
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    /** What the platform gives this process. */
    quota: v.object({ cpu: positive, memory_mb: positive, max_sockets: whole }),
    skew_ms: amount,
  }),
});

/** The settings as they are in the file, with defaults for what may be left out. */
export type Platform = v.InferOutput<typeof Schema>;

/**
 * Parses and checks the settings. Unknown fields are ignored, so that a later
 * platform may add some.
 *
 * @param file Named in errors.
 * @throws SettingsError naming the file, the field and what was expected.
 */
export function parsePlatform(text: string, file: string): Platform {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not JSON: ${(error as Error).message}`, { cause: error });
  }
  const result = v.safeParse(Schema, json, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`${file}: ${v.getDotPath(issue) ?? 'top level'}: ${issue.message}`);
  }
  return result.output;
}

/** Each team's quota, by its name. */
export function quotasOf(platform: Platform): Map<string, TeamQuota> {
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

/** Host and port of an address that the schema has checked. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
