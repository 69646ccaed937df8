import { parse } from 'dot-properties';
import { SettingsError } from './settings.js';

/** The operators' own policy, with its defaults. docs/operations.md explains each key. */
export const DEFAULT_POLICY = {
  'score.throughput': 1,
  'score.cost': 1,
  'score.locality': 1,
  'rent.wait-spread': 0.8,
  'rent.spread': 0.4,
  'rent.smooth-boots': 2.5,
  'rent.drain-boots': 0.5,
  'rent.idle-boots': 0.6,
  'rent.boot-patience': 4,
  'rent.backoff-boots': 0.3,
  'sick.jobs': 2,
  'sick.failures': 3,
  'job.faulty-machines': 3,
  'round.machine-starts': 32,
};

export type Policy = Record<keyof typeof DEFAULT_POLICY, number>;

export function parsePolicy(text: string, file: string): Policy {
  let values: Record<string, unknown>;
  try {
    values = parse(text) as Record<string, unknown>;
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as Error).message}`);
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
