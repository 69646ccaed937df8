import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderElection } from '../src/controller/election/leader-election.js';
import { LEADER_KEY } from '../src/controller/election/leader-key.js';
import { DemandStore } from '../src/controller/leader/demand-store.js';
import { encodeLeaderRecord, type LeaderRecord } from '../src/records/leader-record.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

/** A leader whose only routine saves the demand forecast. */
async function withLeader() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const ctx = createContext('n-0', new FakeStateService(store), clock);
  const scaleOut = new ScaleOutPlanner(createCluster());
  const stop = new AbortController();
  const election = new LeaderElection(ctx, async (term) => {
    term.setCancellationsKnownAt(clock.now());
    await new DemandStore(ctx, term, scaleOut).run(term.signal).catch(() => {});
  });
  void election.run(stop.signal);
  await clock.advance(100);
  const term = election.currentTerm;
  assert.ok(term);
  return { clock, store, ctx, term, stop };
}

// Guards against a deposed leader that leads on although a write shows that it is deposed.
test('a leader whose forecast write fails on the leader key ends its term, also while its renewals succeed', async () => {
  const { clock, store, ctx, term, stop } = await withLeader();
  // Another controller holds the key, while the lease of this term is still renewed.
  const record: LeaderRecord = { node: 'n-1', incarnation: 'n-1-1', term: 2, lease: -1 };
  store.transact([], [{ op: 'put', key: LEADER_KEY, value: encodeLeaderRecord(record) }]);
  await clock.advance(ctx.timing.demandSaveIntervalMs - 200);
  assert.ok(term.isProven());
  await clock.advance(300);
  assert.equal(term.isProven(), false);
  assert.equal(store.entries.has('loads'), false);
  stop.abort();
});

test('a leader that holds its key saves its forecast and leads on', async () => {
  const { clock, store, ctx, term, stop } = await withLeader();
  await clock.advance(ctx.timing.demandSaveIntervalMs + 100);
  assert.ok(store.entries.has('loads'));
  assert.ok(term.isProven());
  stop.abort();
});
