/** Parsing and defaults of the operators' properties file. */
import { parse } from 'dot-properties';
import { SettingsError } from './settings.js';

/**
 * Every key of the properties file with its default. Operators rely on the keys,
 * so they must not change (docs/operations.md). A value given in boot times
 * refers to the boot time of the machine type concerned, or to the longest one
 * where it concerns all types.
 */
export const DEFAULT_POLICY = {
  /** Weight, in the placement score, of the share of a batch that fits on the machine now. */
  'score.throughput': 1,
  /** Weight of the machine's cost in the placement score. */
  'score.cost': 1,
  /** Weight, in the placement score, of the image being cached on the machine. */
  'score.locality': 1,
  /** Safety margin above the mean demand of work with a wait objective, in standard deviations. */
  'rent.wait-spread': 0.8,
  /** Safety margin above the mean demand of all other work, in standard deviations. */
  'rent.spread': 0.4,
  /** Time over which arrivals of work are averaged, in boot times. */
  'rent.smooth-boots': 2.5,
  /** A backlog should be worked off within this many boot times after the first one. */
  'rent.drain-boots': 0.5,
  /** An unneeded machine is terminated after it has been idle for this many boot times. */
  'rent.idle-boots': 0.6,
  /** A machine that has not booted after this many boot times is terminated. */
  'rent.boot-patience': 4,
  /**
   * First back-off after the cloud provisioned fewer machines than requested, in
   * boot times. Each further refusal doubles it, up to four times this value.
   */
  'rent.backoff-boots': 0.3,
  /** A machine is quarantined when tasks of this many jobs fail on it in a row. */
  'sick.jobs': 2,
  /**
   * A machine is also quarantined when this many tasks fail on it in a row and the
   * job of the last one has had a success.
   */
  'sick.failures': 3,
  /** A job backs off when it has failed on this many machines and succeeded on none. */
  'job.faulty-machines': 3,
  /** Limit on the task starts of a placement round (higher under load) and of a response to a heartbeat. */
  'round.machine-starts': 32,
};

/** A value for each key of the properties file. */
export type Policy = Record<keyof typeof DEFAULT_POLICY, number>;

/**
 * Parses a properties file. Missing keys get their defaults.
 *
 * @param file The file name for error messages.
 * @throws SettingsError that names the file and either its syntax error or the invalid key.
 */
export function parsePolicy(text: string, file: string): Policy {
  let values: Record<string, unknown>;
  try {
    values = parse(text) as Record<string, unknown>;
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`, { cause: error });
  }
  const policy: Policy = { ...DEFAULT_POLICY };
  for (const [key, rawValue] of Object.entries(values)) {
    if (!Object.hasOwn(DEFAULT_POLICY, key)) throw new SettingsError(`${file}: unknown key ${key}`);
    const value = Number(rawValue);
    if (
      typeof rawValue !== 'string' ||
      rawValue.trim() === '' ||
      !Number.isFinite(value) ||
      value < 0
    )
      throw new SettingsError(`${file}: ${key}: must be a number of 0 or more`);
    policy[key as keyof Policy] = value;
  }
  return policy;
}
