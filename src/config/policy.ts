/** The operators' properties file: parsing and defaults. */
import { parse } from 'dot-properties';
import { SettingsError } from './settings.js';

/**
 * Every key of the properties file, with its default. The keys are the
 * operators' contract and stay as they are (docs/operations.md). A key in
 * `boots` counts in boot times of the machine type in question.
 */
export const DEFAULT_POLICY = {
  /** Weight of the share of a batch that a machine can take now, in the score of a placement. */
  'score.throughput': 1,
  /** Weight of the machine's cost. */
  'score.cost': 1,
  /** Weight of the image being cached on the machine. */
  'score.locality': 1,
  /** Safety margin over the mean demand of work with an objective on its wait, in standard deviations. */
  'rent.wait-spread': 0.8,
  /** The same for all other work. */
  'rent.spread': 0.4,
  /** Over how many boot times the arrival of work is smoothed. */
  'rent.smooth-boots': 2.5,
  /** A backlog should be worked off within this many boot times beyond the first. */
  'rent.drain-boots': 0.5,
  /** A machine that is not needed is terminated after this many boot times without work. */
  'rent.idle-boots': 0.6,
  /** A machine that has not booted after this many boot times is terminated. */
  'rent.boot-patience': 4,
  /** The first capacity back-off after the cloud had none; it doubles up to fourfold. */
  'rent.backoff-boots': 0.3,
  /** A machine is quarantined when tasks of this many jobs fail on it in a row, */
  'sick.jobs': 2,
  /** or this many tasks of one job that succeeds elsewhere. */
  'sick.failures': 3,
  /** A job that fails on this many machines and has succeeded on none backs off. */
  'job.faulty-machines': 3,
  /** Starts that a placement round may make at least; under load it may make more. */
  'round.machine-starts': 32,
};

/** One value for each key. */
export type Policy = Record<keyof typeof DEFAULT_POLICY, number>;

/**
 * Parses a properties file; keys that it leaves out have their defaults.
 *
 * @param file Named in errors.
 * @throws SettingsError naming file, key and what was expected.
 */
export function parsePolicy(text: string, file: string): Policy {
  let values: Record<string, unknown>;
  try {
    values = parse(text) as Record<string, unknown>;
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`, { cause: error });
  }
  const policy: Policy = { ...DEFAULT_POLICY };
  for (const [key, raw] of Object.entries(values)) {
    if (!Object.hasOwn(DEFAULT_POLICY, key)) throw new SettingsError(`${file}: unknown key ${key}`);
    const value = Number(raw);
    if (typeof raw !== 'string' || raw.trim() === '' || !Number.isFinite(value) || value < 0)
      throw new SettingsError(`${file}: ${key}: must be a number of 0 or more`);
    policy[key as keyof Policy] = value;
  }
  return policy;
}
