import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestRefusedError, RequestRejectedError } from '../src/clients/key-value-store.js';
import { LeaderElection } from '../src/controller/election/leader-election.js';
import { LEADER_KEY } from '../src/controller/election/leader-key.js';
import type { LeaderTerm } from '../src/controller/election/leader-term.js';
import { NoResponseError } from '../src/http/errors.js';
import { waitWhileLagging } from '../src/runtime/clock.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

function createElections() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const stop = new AbortController();
  const terms: LeaderTerm[] = [];
  const node = (name: string, incarnation = `${name}-1`) => {
    const state = new FakeStateService(store);
    const ctx = { ...createContext(name, state, clock), incarnation };
    const nodeStop = new AbortController();
    stop.signal.addEventListener('abort', () => nodeStop.abort());
    const election = new LeaderElection(ctx, (term) => {
      terms.push(term);
      // The simulated leader has read all jobs immediately.
      term.setCancellationsKnownAt(clock.now());
      return new Promise((resolve) => {
        term.signal.addEventListener('abort', () => resolve(), { once: true });
      });
    });
    const done = election.run(nodeStop.signal);
    return { ctx, state, election, crash: () => nodeStop.abort(), done };
  };
  return { clock, store, stop, terms, node };
}

test('exactly one of several nodes leads, and all nodes report the same leader', async () => {
  const w = createElections();
  const nodes = ['n-0', 'n-1', 'n-2'].map((n) => w.node(n));
  await w.clock.advance(5000);
  assert.equal(w.terms.length, 1);
  const leaders = new Set(nodes.map((n) => n.election.leaderNode));
  assert.equal(leaders.size, 1);
  assert.equal(nodes.filter((n) => n.election.currentTerm).length, 1);
  w.stop.abort();
});

test('proof of leadership ends before another node can lead, and the new leader has the next term', async () => {
  const w = createElections();
  const first = w.node('n-0');
  await w.clock.advance(3000);
  const second = w.node('n-1');
  await w.clock.advance(3000);
  const old = first.election.currentTerm;
  assert.ok(old);
  assert.ok(old.isProven());
  // Only this node loses the state service; its lease expires there.
  first.state.fault = 'refuse';
  for (let i = 0; i < 200 && !second.election.currentTerm; i++) {
    await w.clock.advance(50);
    assert.ok(!(old.isProven() && second.election.currentTerm));
  }
  assert.equal(second.election.currentTerm?.number, old.number + 1);
  assert.ok(old.mayRenewAgentLeases());
  // A peer reports the later term.
  first.election.observeTerm(old.number + 1);
  assert.equal(old.mayRenewAgentLeases(), false);
  w.stop.abort();
});

test('a restarted process revokes the lease of the previous process and leads at once', async () => {
  const w = createElections();
  const previous = w.node('n-0', 'n-0-1');
  await w.clock.advance(3000);
  assert.equal(w.terms.length, 1);
  previous.crash();
  // The process was killed, so the leader key still exists.
  w.store.grantLease(1);
  const restarted = w.node('n-0', 'n-0-2');
  await w.clock.advance(500);
  assert.equal(restarted.election.currentTerm?.number, 2);
  w.stop.abort();
});

test('a process restarted during its own election does not treat the leader key of the previous process as its own', async () => {
  const w = createElections();
  const first = w.node('n-0');
  await w.clock.advance(50);
  assert.equal(w.terms.length, 1);
  // The first process of n-0 ends. The second one is killed while its election is pending.
  first.crash();
  await w.clock.advance(10_000);
  const second = w.node('n-0', 'n-0-2');
  second.state.fault = null;
  const { transact } = second.state;
  let applyTransaction: (() => void) | null = null;
  second.state.transact = (conditions, changes) => {
    applyTransaction = () => void transact.call(second.state, conditions, changes);
    return new Promise(() => {});
  };
  await w.clock.advance(200);
  assert.ok(applyTransaction);
  second.crash();
  const third = w.node('n-0', 'n-0-3');
  const other = w.node('n-1');
  (applyTransaction as () => void)();
  await w.clock.advance(8000);
  const record = w.store.entries.get(LEADER_KEY)?.value as { incarnation: string; term: number };
  assert.ok(['n-0-3', 'n-1-1'].includes(record.incarnation), record.incarnation);
  assert.equal([third, other].filter((n) => n.election.currentTerm).length, 1);
  assert.equal(w.terms.at(-1)?.number, record.term);
  assert.equal(new Set(w.terms.map((term) => term.number)).size, w.terms.length);
  w.stop.abort();
});

test('delayed renewals end neither the proof of leadership nor the lease', async () => {
  const w = createElections();
  const node = w.node('n-0');
  await w.clock.advance(1000);
  const [term] = w.terms;
  assert.ok(term);
  // Every other renewal gets its response only after the proof has expired.
  const { renewLease: renew } = node.state;
  let renewals = 0;
  node.state.renewLease = async (lease) => {
    if (renewals++ % 2 === 0) await w.clock.sleep(node.ctx.timing.leadershipProofMs * 1.2);
    return renew.call(node.state, lease);
  };
  for (let i = 0; i < 40; i++) {
    await w.clock.advance(500);
    assert.ok(term.isProven(), `unproven after ${i}`);
  }
  assert.equal(w.terms.length, 1);
  w.stop.abort();
});

test('an election without a response is read back, and its delayed request is not applied later', async () => {
  const w = createElections();
  const a = w.node('n-0');
  a.state.fault = 'lose request';
  await w.clock.advance(3000);
  a.state.fault = null;
  await w.clock.advance(4000);
  const term = a.election.currentTerm?.number;
  assert.ok(term);
  const version = w.store.entries.get(LEADER_KEY)?.version;
  for (const applyRequest of a.state.delayedRequests) {
    try {
      applyRequest();
    } catch {
      // Refused because its lease has ended.
    }
  }
  assert.equal(w.store.entries.get(LEADER_KEY)?.version, version);
  w.stop.abort();
});

/** How the last election of a process ends without a usable response. */
const FAILED_ELECTIONS: [string, () => Error][] = [
  ['gets no response', () => new NoResponseError('timed out')],
  ['is refused', () => new RequestRefusedError(100)],
  ['is rejected', () => new RequestRejectedError('400 no such lease')],
];

// Guards against two leaders at once: a controller that led under another lease than the one that
// holds the leader key did not notice when that key was deleted and another controller won.
for (const [outcome, createError] of FAILED_ELECTIONS)
  test(`an earlier election that is applied late is not taken for the last one, which ${outcome}`, async () => {
    const w = createElections();
    const a = w.node('n-0');
    const { timing } = a.ctx;
    const lateElections: (() => void)[] = [];
    const { transact, get } = a.state;
    a.state.transact = async (conditions, changes) => {
      lateElections.push(() => void w.store.transact(conditions, changes));
      await w.clock.sleep(timing.stateTimeoutMs);
      throw lateElections.length === 1 ? new NoResponseError('timed out') : createError();
    };
    // The read that should show the outcome of the first election is refused.
    a.state.get = (key) =>
      key === LEADER_KEY && lateElections.length === 1
        ? Promise.reject(new RequestRefusedError(100))
        : get.call(a.state, key);
    while (lateElections.length < 2) await w.clock.advance(50);
    a.state.transact = transact;
    // The first election is applied while the second one, under another lease, waits for its answer.
    applyLate(lateElections[0]);
    await w.clock.advance(timing.stateTimeoutMs + timing.renewalIntervalMs);
    applyLate(lateElections[1]);
    const b = w.node('n-1');
    for (let i = 0; i < 200; i++) {
      await w.clock.advance(50);
      const proven = w.terms.filter((term) => term.isProven());
      assert.ok(proven.length <= 1, `terms ${proven.map((term) => term.number)} are proven`);
      for (const { lease, version } of proven) {
        const entry = w.store.entries.get(LEADER_KEY);
        assert.deepEqual([entry?.lease, entry?.version], [lease, version]);
      }
    }
    assert.equal([a, b].filter((n) => n.election.currentTerm).length, 1);
    w.stop.abort();
  });

// Guards against a leader key that nobody renews: an election that nobody waits for any more took
// the key, and no controller could lead before its lease had ended.
test('a process ends the lease of an election without an outcome before it campaigns again', async () => {
  const w = createElections();
  const a = w.node('n-0');
  const { transact, get } = a.state;
  const elections: { lease: number | undefined; apply: () => void }[] = [];
  a.state.transact = (conditions, changes) => {
    const [leaderChange] = changes;
    elections.push({
      lease: leaderChange?.op === 'put' ? leaderChange.lease : undefined,
      apply: () => void w.store.transact(conditions, changes),
    });
    return Promise.reject(new NoResponseError('timed out'));
  };
  let refusedReads = 0;
  a.state.get = (key) => {
    if (key !== LEADER_KEY) return get.call(a.state, key);
    refusedReads++;
    return Promise.reject(new RequestRefusedError(100));
  };
  while (refusedReads < 1) await w.clock.advance(10);
  assert.equal(elections.length, 1);
  a.state.transact = transact;
  a.state.get = get;
  const revoked: number[] = [];
  const { revokeLease, grantLease } = a.state;
  a.state.revokeLease = (lease) => {
    revoked.push(lease);
    return revokeLease.call(a.state, lease);
  };
  let revokedBeforeGrant: number[] | null = null;
  a.state.grantLease = (ttlMs) => {
    revokedBeforeGrant ??= [...revoked];
    return grantLease.call(a.state, ttlMs);
  };
  while (!a.election.currentTerm) await w.clock.advance(10);
  assert.deepEqual(revokedBeforeGrant, [elections[0]?.lease]);
  assert.throws(() => elections[0]?.apply(), /no such lease/);
  w.stop.abort();
});

// Guards against a leader key that nobody renews, left by a process that was stopped in order.
test('a process that stops during its election ends the lease, so that the election is not applied later', async () => {
  const w = createElections();
  const a = w.node('n-0');
  let applyElection: (() => void) | null = null;
  a.state.transact = (conditions, changes, _priority, signal) => {
    applyElection = () => void w.store.transact(conditions, changes);
    return new Promise((_resolve, reject) => {
      signal?.addEventListener('abort', () => reject(new NoResponseError('request aborted')));
    });
  };
  while (!applyElection) await w.clock.advance(10);
  w.stop.abort();
  await a.done;
  assert.throws(applyElection, /no such lease/);
});

// Guards against a term that begins although a later one is known, as in a process that was suspended
// while its election waited for the answer: it answered agents and called itself leader to its peers.
test('an election that is answered after a later term is known begins no term', async () => {
  const w = createElections();
  const a = w.node('n-0');
  const { transact } = a.state;
  let answer: (() => void) | null = null;
  a.state.transact = async (conditions, changes) => {
    const result = await transact.call(a.state, conditions, changes);
    await new Promise<void>((resolve) => {
      answer = resolve;
    });
    return result;
  };
  while (!answer) await w.clock.advance(10);
  a.state.transact = transact;
  await w.clock.advance(a.ctx.timing.leaderLeaseMs * 1.1);
  const b = w.node('n-1');
  await w.clock.advance(1000);
  const later = b.election.currentTerm;
  assert.ok(later);
  a.election.observeTerm(later.number);
  (answer as () => void)();
  await w.clock.advance(a.ctx.timing.renewalIntervalMs / 2);
  assert.deepEqual(w.terms, [later]);
  assert.equal(a.election.leaderNode, 'n-1');
  assert.ok(later.isProven());
  w.stop.abort();
});

/** Applies a transaction, unless its lease has ended. */
function applyLate(transaction: (() => void) | undefined): void {
  try {
    transaction?.();
  } catch (error) {
    assert.match((error as Error).message, /no such lease/);
  }
}

test('in a state service outage the leader renews agent leases only as long as the cancellation bound allows', async () => {
  const w = createElections();
  const a = w.node('n-0');
  await w.clock.advance(3000);
  const term = a.election.currentTerm;
  assert.ok(term);
  a.state.fault = 'refuse';
  await w.clock.advance(a.ctx.timing.leadershipProofMs);
  assert.equal(term.isProven(), false);
  assert.equal(term.mayRenewAgentLeases(), true);
  await w.clock.advance(a.ctx.timing.agentRenewalMs);
  assert.equal(term.mayRenewAgentLeases(), false);
  w.stop.abort();
});

test('waitWhileLagging waits until timers fire on time, up to its limit', async () => {
  // Each wait takes this much longer than requested, because the event loop lags.
  const behind = [400, 0, 90, 0, 10];
  const waits: number[] = [];
  let now = 0;
  const clock = {
    now: () => now,
    wall: () => now,
    sleep: async (ms: number) => {
      waits.push(ms);
      now += ms + (behind.shift() ?? 0);
    },
  };
  const { signal } = new AbortController();
  await waitWhileLagging(clock, 100, 60_000, signal);
  assert.deepEqual(waits, [10, 800, 10, 180, 10]);
  // If the lag does not end, the work is delayed by no more than the given limit.
  waits.length = 0;
  behind.push(...Array(9).fill(100));
  await waitWhileLagging(clock, 100, 500, signal);
  assert.deepEqual(waits, [10, 200, 10]);
});
