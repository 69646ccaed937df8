import { pino } from 'pino';
import type { KeyValueStore } from '../../src/clients/key-value-store.js';
import { parsePlatformSettings, quotasOf } from '../../src/config/settings.js';
import { stateLimitsOf } from '../../src/config/state-limits.js';
import { timingOf } from '../../src/config/timing.js';
import type { ControllerContext } from '../../src/controller/context.js';
import type { FakeClock } from './clock.js';
import { MACHINE_TYPE } from './scheduler.js';

const SETTINGS = {
  size: 3,
  zones: ['a', 'b'],
  teams: [{ name: 'ops', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 3, lease_s: 20, cancel_s: 50 },
  state: { rps: 200, write_rps: 50, value_kb: 8, txn_ops: 12 },
  cloud: { rps: 3, list_lag_s: 5 },
  quota: { cpu: 0.1, memory_mb: 200, max_sockets: 500 },
  skew_ms: 5,
};

/** Announced limits of the state service, with the field names of `state.next` in the settings. */
export interface NextLimits {
  value_kb: number;
  txn_ops: number;
  write_rps: number;
}

export function createContext(
  node: string,
  state: KeyValueStore,
  clock: FakeClock,
  nextLimits: NextLimits | null = null,
): ControllerContext {
  const platform = parsePlatformSettings(
    JSON.stringify({
      node,
      zone: 'a',
      bind: '127.0.0.1:1',
      peer_listen: '127.0.0.1:1',
      peers: [],
      external: { cloud: '127.0.0.1:1', state: '127.0.0.1:1' },
      settings: { ...SETTINGS, state: { ...SETTINGS.state, next: nextLimits } },
    }),
    'test',
  );
  return {
    node,
    incarnation: `${node}-1`,
    platform,
    timing: timingOf(platform),
    limits: stateLimitsOf(platform),
    quotas: quotasOf(platform),
    state,
    clock,
    log: pino({ level: 'silent' }),
    machineTypes: [MACHINE_TYPE],
  };
}
