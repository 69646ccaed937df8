import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_POLICY, parsePolicy } from '../src/config/policy.js';
import { parsePlatformSettings } from '../src/config/settings.js';
import { MAX_CLOCK_DRIFT, timingOf } from '../src/config/timing.js';

export const PLATFORM_SETTINGS = {
  node: 'n-0',
  zone: 'a',
  bind: '127.0.0.1:8080',
  peer_listen: '127.0.0.1:8081',
  peers: [],
  external: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
  settings: {
    size: 3,
    zones: ['a', 'b'],
    teams: [{ name: 'ops', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [{ kind: 'wait', class: 'work', within_s: 10, share: 0.9 }],
    workers: { report_s: 3, lease_s: 20, cancel_s: 50 },
    state: { rps: 200, write_rps: 50, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 3, list_lag_s: 5 },
    quota: { cpu: 0.1, memory_mb: 200, max_sockets: 500 },
    skew_ms: 5,
    future: true,
  },
};

test('invalid settings are rejected with the file and the field, and unknown fields are ignored', () => {
  assert.equal(parsePlatformSettings(JSON.stringify(PLATFORM_SETTINGS), 'f').settings.size, 3);
  const invalid = structuredClone(PLATFORM_SETTINGS);
  invalid.settings.workers.lease_s = -1;
  assert.throws(
    () => parsePlatformSettings(JSON.stringify(invalid), 's.json'),
    /s\.json: settings\.workers\.lease_s/,
  );
  assert.throws(() => parsePlatformSettings('{', 's.json'), /s\.json: not JSON/);
  assert.throws(() => parsePlatformSettings('{}', 's.json'), /s\.json: /);
});

test('policy properties override the defaults, and unknown keys and invalid values are rejected', () => {
  const policy = parsePolicy('# ours\nscore.cost = 2.5\nrent.spread: 1\n', 'p');
  assert.deepEqual(policy, { ...DEFAULT_POLICY, 'score.cost': 2.5, 'rent.spread': 1 });
  assert.throws(() => parsePolicy('score.costs=1', 'p.properties'), /p\.properties: unknown key/);
  assert.throws(() => parsePolicy('score.cost=abc', 'p.properties'), /score\.cost/);
  assert.throws(() => parsePolicy('score.cost=', 'p.properties'), /score\.cost/);
  assert.throws(() => parsePolicy('score.cost=-1', 'p.properties'), /score\.cost/);
});

test('the derived timers keep the margins that safety depends on', () => {
  for (const [reportS, leaseS, cancelS] of [
    [3, 20, 50],
    [3, 27, 52],
    [5, 30, 45],
  ] as const) {
    const platform = structuredClone(PLATFORM_SETTINGS);
    platform.settings.workers = { report_s: reportS, lease_s: leaseS, cancel_s: cancelS };
    const timing = timingOf(parsePlatformSettings(JSON.stringify(platform), 'f'));
    // The proof of leadership ends before another controller can hold the lease.
    assert.ok(timing.leadershipProofMs < timing.leaderLeaseMs * (1 - MAX_CLOCK_DRIFT));
    assert.ok(timing.renewalIntervalMs * 2 < timing.leadershipProofMs);
    // After the last reply to a heartbeat, agents' leases expire within cancel_s.
    assert.ok((timing.agentRenewalMs + leaseS * 1000) * (1 + MAX_CLOCK_DRIFT) < cancelS * 1000);
    assert.ok((timing.delegatedRenewalMs + leaseS * 1000) * (1 + MAX_CLOCK_DRIFT) < cancelS * 1000);
  }
});
