import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderElection } from '../src/controller/election/leader-election.js';
import { LEADER_KEY } from '../src/controller/election/leader-key.js';
import type { LeaderTerm } from '../src/controller/election/leader-term.js';
import { waitWhileLagging } from '../src/runtime/clock.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

function world() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const stop = new AbortController();
  const terms: LeaderTerm[] = [];
  const node = (name: string, incarnation = `${name}-1`) => {
    const state = new FakeStateService(store);
    const ctx = { ...createContext(name, state, clock), incarnation };
    const own = new AbortController();
    stop.signal.addEventListener('abort', () => own.abort());
    const leadership = new LeaderElection(ctx, (term) => {
      terms.push(term);
      // The stand-in of a leader has read all jobs at once.
      term.setCancellationsKnownAt(clock.now());
      return new Promise((resolve) => {
        term.signal.addEventListener('abort', () => resolve(), { once: true });
      });
    });
    const done = leadership.run(own.signal);
    return { ctx, state, leadership, crash: () => own.abort(), done };
  };
  return { clock, store, stop, terms, node };
}

test('one of several nodes leads, and the others name it', async () => {
  const w = world();
  const nodes = ['n-0', 'n-1', 'n-2'].map((n) => w.node(n));
  await w.clock.advance(5000);
  assert.equal(w.terms.length, 1);
  const leaders = new Set(nodes.map((n) => n.leadership.leader));
  assert.equal(leaders.size, 1);
  assert.equal(nodes.filter((n) => n.leadership.current).length, 1);
  w.stop.abort();
});

test('proof of leadership ends before another node can lead, and the term rises', async () => {
  const w = world();
  const first = w.node('n-0');
  await w.clock.advance(3000);
  const second = w.node('n-1');
  await w.clock.advance(3000);
  const old = first.leadership.current;
  assert.ok(old);
  assert.ok(old.isProven());
  // The node loses the state service alone; its lease runs out there.
  first.state.fault = 'refuse';
  for (let i = 0; i < 200 && !second.leadership.current; i++) {
    await w.clock.advance(50);
    assert.ok(!(old.isProven() && second.leadership.current));
  }
  assert.equal(second.leadership.current?.number, old.number + 1);
  assert.ok(old.mayRenewAgentLeases());
  // A peer tells of the later term.
  first.leadership.observeTerm(old.number + 1);
  assert.equal(old.mayRenewAgentLeases(), false);
  w.stop.abort();
});

test('a restarted process ends its predecessor’s lease and leads at once', async () => {
  const w = world();
  const dead = w.node('n-0', 'n-0-1');
  await w.clock.advance(3000);
  assert.equal(w.terms.length, 1);
  dead.crash();
  // Killed without a word: the key is still there.
  w.store.grant(1);
  const again = w.node('n-0', 'n-0-2');
  await w.clock.advance(500);
  assert.equal(again.leadership.current?.number, 2);
  w.stop.abort();
});

test('a process back in the middle of its own election never takes the dead one’s key for its own', async () => {
  const w = world();
  const first = w.node('n-0');
  await w.clock.advance(50);
  assert.equal(w.terms.length, 1);
  // All end; the next election of n-0 is on its way when it ends once more.
  first.crash();
  await w.clock.advance(10_000);
  const second = w.node('n-0', 'n-0-2');
  second.state.fault = null;
  const { transact } = second.state;
  let late: (() => void) | null = null;
  second.state.transact = (conditions, changes) => {
    late = () => void transact.call(second.state, conditions, changes);
    return new Promise(() => {});
  };
  await w.clock.advance(200);
  assert.ok(late);
  second.crash();
  const third = w.node('n-0', 'n-0-3');
  const other = w.node('n-1');
  (late as () => void)();
  await w.clock.advance(8000);
  const record = w.store.entries.get(LEADER_KEY)?.value as { incarnation: string; term: number };
  assert.ok(['n-0-3', 'n-1-1'].includes(record.incarnation), record.incarnation);
  assert.equal([third, other].filter((n) => n.leadership.current).length, 1);
  assert.equal(w.terms.at(-1)?.number, record.term);
  assert.equal(new Set(w.terms.map((term) => term.number)).size, w.terms.length);
  w.stop.abort();
});

test('a renewal that hangs costs neither the proof nor the lease', async () => {
  const w = world();
  const node = w.node('n-0');
  await w.clock.advance(1000);
  const [term] = w.terms;
  assert.ok(term);
  // Every other renewal is answered only after more than the proven time.
  const { touch } = node.state;
  let n = 0;
  node.state.touch = async (lease) => {
    if (n++ % 2 === 0) await w.clock.sleep(node.ctx.timing.leadershipProofMs * 1.2);
    return touch.call(node.state, lease);
  };
  for (let i = 0; i < 40; i++) {
    await w.clock.advance(500);
    assert.ok(term.isProven(), `unproven after ${i}`);
  }
  assert.equal(w.terms.length, 1);
  w.stop.abort();
});

test('an election whose answer is lost is read back; one whose request was late never applies', async () => {
  const w = world();
  const a = w.node('n-0');
  a.state.fault = 'lose request';
  await w.clock.advance(3000);
  a.state.fault = null;
  await w.clock.advance(4000);
  const term = a.leadership.current?.number;
  assert.ok(term);
  const held = w.store.entries.get(LEADER_KEY)?.version;
  for (const late of a.state.late) {
    try {
      late();
    } catch {
      // Refused: its lease has ended.
    }
  }
  assert.equal(w.store.entries.get(LEADER_KEY)?.version, held);
  w.stop.abort();
});

test('in an outage of the state service the leader goes on answering, but not for longer than cancellations allow', async () => {
  const w = world();
  const a = w.node('n-0');
  await w.clock.advance(3000);
  const term = a.leadership.current;
  assert.ok(term);
  a.state.fault = 'refuse';
  await w.clock.advance(a.ctx.timing.leadershipProofMs);
  assert.equal(term.isProven(), false);
  assert.equal(term.mayRenewAgentLeases(), true);
  await w.clock.advance(a.ctx.timing.agentRenewalMs);
  assert.equal(term.mayRenewAgentLeases(), false);
  w.stop.abort();
});

test('work of our own choosing waits while timers are late', async () => {
  // Each wait takes this much longer than asked for: the processor is behind with reports.
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
  // Late without end: it is put off no longer than asked for.
  waits.length = 0;
  behind.push(...Array(9).fill(100));
  await waitWhileLagging(clock, 100, 500, signal);
  assert.deepEqual(waits, [10, 200, 10]);
});
