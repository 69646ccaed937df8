import * as v from 'valibot';
import type { TeamQuota } from '../model/resources.js';

/** The platform hands over a file that cannot be used; the message names file and field. */
export class SettingsError extends Error {}

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const name = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));

const Objective = v.object({
  kind: name,
  class: v.nullish(v.string()),
  within_s: v.nullish(amount),
  share: v.nullish(amount),
  times: v.nullish(amount),
});

/** Limits of the state service that come into force at some moment, without notice. */
const NextLimits = v.object({
  write_rps: v.nullish(positive),
  value_kb: v.nullish(positive),
  txn_ops: v.nullish(whole),
});

const Schema = v.object({
  node: name,
  zone: name,
  bind: address,
  peer_listen: address,
  peers: v.array(v.object({ node: name, zone: name, address })),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    size: whole,
    zones: v.array(name),
    teams: v.array(
      v.object({ name, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount }),
    ),
    objectives: v.nullish(v.array(Objective), []),
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: whole,
      next: v.nullish(NextLimits),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.object({ cpu: positive, memory_mb: positive, max_sockets: whole }),
    skew_ms: amount,
  }),
});

export type Platform = v.InferOutput<typeof Schema>;

export function parsePlatform(text: string, file: string): Platform {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not JSON: ${(error as Error).message}`);
  }
  const result = v.safeParse(Schema, json, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`${file}: ${v.getDotPath(issue) ?? 'top level'}: ${issue.message}`);
  }
  return result.output;
}

export function quotasOf(platform: Platform): Map<string, TeamQuota> {
  return new Map(
    platform.settings.teams.map((t) => [
      t.name,
      {
        name: t.name,
        guaranteedCpus: t.cpus,
        guaranteedGpus: t.gpus,
        maxCpus: t.cpus_max,
        maxGpus: t.gpus_max,
      },
    ]),
  );
}

export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
