import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatHandler } from '../src/controller/heartbeats/heartbeat-handler.js';
import type { Reply } from '../src/http/server.js';
import { fencingToken } from '../src/protocol/agent-protocol.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

function world() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const state = new FakeStateService(store);
  const ctx = createContext('n-1', state, clock);
  const peers = {
    reachable: true,
    heardAt: clock.now() as number | null,
    passed: 0,
    isReachable: () => peers.reachable,
    lastLedAt: () => peers.heardAt,
    mail: null as Reply | null,
    forwardThroughMailbox: (): Promise<Reply> =>
      peers.mail ? Promise.resolve(peers.mail) : Promise.reject(new Error('not answered')),
    forwardHeartbeat: (): Promise<Reply> => {
      peers.passed++;
      return Promise.resolve({ status: 200, body: { baton: fencingToken(7, 0), orders: [] } });
    },
  };
  const leadership = { leader: 'n-0' as string | null, observedTerm: 7, current: null };
  const machine = { id: 'n-000001', term: 7, answers: true };
  const show = () =>
    machine.answers
      ? Promise.resolve({ ...new ScriptedAgent(machine.id).heartbeat(), term: machine.term })
      : Promise.reject(new Error('not answered'));
  const reports = new HeartbeatHandler({
    ctx,
    election: leadership,
    leader: () => null,
    peers,
    fetchHeartbeat: show,
  });
  const report = (term = 7, fence = 0, exited = false) =>
    reports.handle(
      Buffer.from(
        JSON.stringify({
          cart: 'n-000001',
          endpoint: '10.0.0.9:9000',
          rig: 'm16',
          hall: 'a',
          loaner: false,
          shift: 1,
          tally: 1,
          baton: fencingToken(term, fence),
          recallS: null,
          hands: [
            { hand: 'req-1/0', try: 1, standing: 'running' },
            { hand: 'req-2/0', try: 1, standing: exited ? 'exited' : 'running', cause: 'done' },
          ],
        }),
      ),
    );
  return { clock, store, state, ctx, peers, leadership, machine, show, report };
}

test('a follower redirects an agent to the leader and relays its heartbeat when it returns', async () => {
  const w = world();
  assert.deepEqual(await w.report(), { status: 421, body: { steward: 'n-0' } });
  await w.clock.advance(6000);
  assert.equal((await w.report()).status, 200);
  assert.equal(w.peers.passed, 1);
  // The agent is still redirected from time to time, since the partition may have ended.
  for (let i = 0; i < 7; i++) {
    await w.clock.advance(3000);
    await w.report();
  }
  assert.equal(w.peers.passed, 7);
  w.leadership.leader = null;
  assert.deepEqual(await w.report(), { status: 421, body: {} });
});

test('a follower whose leader is unreachable renews the lease, stops tasks of ended jobs and ends renewal in time', async () => {
  const w = world();
  w.peers.reachable = false;
  w.store.transact([], [{ op: 'put', key: 'live/req-1', value: {} }]);
  assert.deepEqual(await w.report(), {
    status: 200,
    body: {
      baton: fencingToken(7, 0),
      orders: [{ verb: 'kill', hand: 'req-2/0', try: 1, windDownS: 0 }],
    },
  });
  // Without the state service the follower can't tell which jobs were cancelled.
  w.state.fault = 'refuse';
  assert.equal((await w.report()).status, 503);
  w.state.fault = null;
  assert.equal((await w.report(8)).status, 421);
  await w.clock.advance(w.ctx.timing.delegatedRenewalMs + 1);
  assert.deepEqual(await w.report(), { status: 421, body: {} });
});

test('a follower without an announcement of the leader in this term renews no lease', async () => {
  const w = world();
  w.peers.reachable = false;
  w.peers.heardAt = null;
  assert.deepEqual(await w.report(), { status: 421, body: {} });
});

test('a restarted follower renews the lease of an agent that the new leader never reached', async () => {
  const w = world();
  w.peers.reachable = false;
  w.peers.heardAt = null;
  // A heartbeat with an old token may be a late copy, so one is requested from the agent itself.
  w.machine.answers = false;
  assert.equal((await w.report(6)).status, 421);
  w.machine.answers = true;
  assert.equal((await w.report(6)).status, 421);
  w.machine.term = 6;
  assert.equal((await w.report(6)).status, 200);
  w.machine.term = 7;
  await w.clock.advance(3000);
  assert.equal((await w.report(7)).status, 200);
  await w.clock.advance(w.ctx.timing.delegatedRenewalMs);
  assert.equal((await w.report(7)).status, 421);
  // A late copy from before the term does not restart the bound.
  assert.equal((await w.report(6)).status, 421);
});

test('a heartbeat reaches a leader behind a partition through the mailbox', async () => {
  const w = world();
  w.peers.reachable = false;
  w.peers.mail = { status: 200, body: { baton: fencingToken(7, 0), orders: [] } };
  assert.deepEqual(await w.report(), w.peers.mail);
});

test('a malformed heartbeat is refused with 400', async () => {
  const w = world();
  const reports = new HeartbeatHandler({
    ctx: w.ctx,
    election: w.leadership,
    leader: () => null,
    peers: w.peers,
    fetchHeartbeat: w.show,
  });
  for (const body of ['', '{', 'null', '{"cart":3}'])
    assert.equal((await reports.handle(Buffer.from(body))).status, 400);
});

test('the bound for an agent that does not know the term starts at the first proof of it', async () => {
  const w = world();
  w.peers.reachable = false;
  w.peers.heardAt = null;
  w.machine.term = 6;
  assert.equal((await w.report(6)).status, 200);
  await w.clock.advance(w.ctx.timing.delegatedRenewalMs + 1);
  // The agent still does not know the term, but this node's own replies are no newer proof.
  assert.equal((await w.report(6)).status, 421);
});

test('a heartbeat of another machine at the agent’s address does not prove that the agent does not know the term', async () => {
  const w = world();
  w.peers.reachable = false;
  w.peers.heardAt = null;
  w.machine.term = 6;
  w.machine.id = 'n-000002';
  assert.equal((await w.report(6)).status, 421);
  w.machine.id = 'n-000001';
  assert.equal((await w.report(6)).status, 200);
});

test('a renewal for the leader keeps the machine’s fence of the same term, not of an earlier one', async () => {
  const w = world();
  w.peers.reachable = false;
  const tokenAfter = async (term: number) =>
    ((await w.report(term, 3)).body as { baton: number }).baton;
  assert.equal(await tokenAfter(7), fencingToken(7, 3));
  assert.equal(await tokenAfter(6), fencingToken(7, 0));
});

test('a follower sends no stop commands for tasks that have exited', async () => {
  const w = world();
  w.peers.reachable = false;
  w.store.transact([], [{ op: 'put', key: 'live/req-1', value: {} }]);
  assert.deepEqual(await w.report(7, 0, true), {
    status: 200,
    body: { baton: fencingToken(7, 0), orders: [] },
  });
});

/** Creates the heartbeat handler of a controller that leads term 7. */
function leading() {
  const { ctx, peers, show } = world();
  const term = {
    number: 7,
    resigned: false,
    resign: () => {
      term.resigned = true;
    },
    mayRenewAgentLeases: () => true,
  };
  const leader = {
    ready: Promise.resolve(),
    handled: 0,
    untilReady: () => leader.ready,
    handleHeartbeat: () => {
      leader.handled++;
      return { commands: [], fence: 2 };
    },
  };
  const handler = new HeartbeatHandler({
    ctx,
    election: { leader: 'n-1', observedTerm: 7, current: term } as never,
    leader: () => leader as never,
    peers,
    fetchHeartbeat: show,
  });
  const agent = (token: number) => ({ ...new ScriptedAgent('n-000001').heartbeat(), term: token });
  return { term, leader, handler, agent };
}

test('a heartbeat with a later term makes the leader resign and is not processed', async () => {
  const { term, leader, handler, agent } = leading();
  assert.deepEqual(await handler.handleAsLeader(agent(7), false), {
    status: 200,
    body: { baton: fencingToken(7, 2), orders: [] },
  });
  assert.deepEqual(await handler.handleAsLeader(agent(8), false), { status: 421, body: {} });
  assert.deepEqual([term.resigned, leader.handled], [true, 1]);
});

test('a heartbeat waits until the leader has read the jobs', async () => {
  const { leader, handler, agent } = leading();
  let jobsRead = () => {};
  leader.ready = new Promise((resolve) => {
    jobsRead = resolve;
  });
  const reply = handler.handleAsLeader(agent(7), false);
  await settle();
  assert.equal(leader.handled, 0);
  jobsRead();
  assert.equal((await reply).status, 200);
});

test('an agent that was redirected after a lease is served again when it returns', async () => {
  const w = world();
  await w.report();
  let served = 0;
  for (;;) {
    await w.clock.advance(3000);
    if ((await w.report()).status === 421) break;
    served++;
  }
  assert.ok(served * 3000 > w.ctx.timing.agentLeaseMs);
  for (let i = 0; i < served; i++) {
    await w.clock.advance(3000);
    assert.equal((await w.report()).status, 200);
  }
});

test('a node that is listed as the leader but does not lead redirects without a leader', async () => {
  const w = world();
  w.leadership.leader = 'n-1';
  assert.deepEqual(await w.report(), { status: 421, body: {} });
});
