import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatHandler } from '../src/controller/heartbeats/heartbeat-handler.js';
import type { Reply } from '../src/http/server.js';
import { fencingToken } from '../src/protocol/agent-protocol.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

function createFollower() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const state = new FakeStateService(store);
  const ctx = createContext('n-1', state, clock);
  const peers = {
    reachable: true,
    announcedAt: clock.now() as number | null,
    relayedCount: 0,
    isReachable: () => peers.reachable,
    lastLedAt: () => peers.announcedAt,
    mailboxReply: null as Reply | null,
    relayThroughMailbox: (): Promise<Reply> =>
      peers.mailboxReply
        ? Promise.resolve(peers.mailboxReply)
        : Promise.reject(new Error('timed out')),
    relayHeartbeat: (): Promise<Reply> => {
      peers.relayedCount++;
      return Promise.resolve({ status: 200, body: { baton: fencingToken(7, 0), orders: [] } });
    },
  };
  const leadership = { leaderNode: 'n-0' as string | null, observedTerm: 7, currentTerm: null };
  const machine = { id: 'n-000001', term: 7, responds: true };
  const fetchHeartbeat = () =>
    machine.responds
      ? Promise.resolve({ ...new ScriptedAgent(machine.id).heartbeat(), term: machine.term })
      : Promise.reject(new Error('timed out'));
  const handler = new HeartbeatHandler({
    ctx,
    election: leadership,
    leader: () => null,
    peers,
    fetchHeartbeat,
  });
  const sendHeartbeat = (term = 7, fence = 0, exited = false) =>
    handler.handle(
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
  return { clock, store, state, ctx, peers, leadership, machine, fetchHeartbeat, sendHeartbeat };
}

test('a follower redirects an agent to the leader and relays its heartbeat when it returns', async () => {
  const follower = createFollower();
  assert.deepEqual(await follower.sendHeartbeat(), { status: 421, body: { steward: 'n-0' } });
  await follower.clock.advance(6000);
  assert.equal((await follower.sendHeartbeat()).status, 200);
  assert.equal(follower.peers.relayedCount, 1);
  // The agent is still redirected from time to time, since the partition may have ended.
  for (let i = 0; i < 7; i++) {
    await follower.clock.advance(3000);
    await follower.sendHeartbeat();
  }
  assert.equal(follower.peers.relayedCount, 7);
  follower.leadership.leaderNode = null;
  assert.deepEqual(await follower.sendHeartbeat(), { status: 421, body: {} });
});

test('a follower whose leader is unreachable renews the lease, stops tasks of ended jobs and ends renewal in time', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.store.transact([], [{ op: 'put', key: 'live/req-1', value: {} }]);
  assert.deepEqual(await follower.sendHeartbeat(), {
    status: 200,
    body: {
      baton: fencingToken(7, 0),
      orders: [{ verb: 'kill', hand: 'req-2/0', try: 1, windDownS: 0 }],
    },
  });
  // Without the state service the follower can't tell which jobs were cancelled.
  follower.state.fault = 'refuse';
  assert.equal((await follower.sendHeartbeat()).status, 503);
  follower.state.fault = null;
  assert.equal((await follower.sendHeartbeat(8)).status, 421);
  await follower.clock.advance(follower.ctx.timing.delegatedRenewalMs + 1);
  assert.deepEqual(await follower.sendHeartbeat(), { status: 421, body: {} });
});

test('a follower that received no announcement of the leader in this term renews no lease', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.peers.announcedAt = null;
  assert.deepEqual(await follower.sendHeartbeat(), { status: 421, body: {} });
});

test('a restarted follower renews the lease of an agent that the new leader never reached', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.peers.announcedAt = null;
  // A heartbeat with an old token may be a delayed duplicate, so one is requested from the agent itself.
  follower.machine.responds = false;
  assert.equal((await follower.sendHeartbeat(6)).status, 421);
  follower.machine.responds = true;
  assert.equal((await follower.sendHeartbeat(6)).status, 421);
  follower.machine.term = 6;
  assert.equal((await follower.sendHeartbeat(6)).status, 200);
  follower.machine.term = 7;
  await follower.clock.advance(3000);
  assert.equal((await follower.sendHeartbeat(7)).status, 200);
  await follower.clock.advance(follower.ctx.timing.delegatedRenewalMs);
  assert.equal((await follower.sendHeartbeat(7)).status, 421);
  // A delayed duplicate from before the term does not restart the bound.
  assert.equal((await follower.sendHeartbeat(6)).status, 421);
});

test('a heartbeat reaches a leader behind a partition through the mailbox', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.peers.mailboxReply = { status: 200, body: { baton: fencingToken(7, 0), orders: [] } };
  assert.deepEqual(await follower.sendHeartbeat(), follower.peers.mailboxReply);
});

test('a malformed heartbeat is refused with 400', async () => {
  const follower = createFollower();
  const handler = new HeartbeatHandler({
    ctx: follower.ctx,
    election: follower.leadership,
    leader: () => null,
    peers: follower.peers,
    fetchHeartbeat: follower.fetchHeartbeat,
  });
  for (const body of ['', '{', 'null', '{"cart":3}'])
    assert.equal((await handler.handle(Buffer.from(body))).status, 400);
});

test('the bound for an agent that does not know the term starts at the first proof of it', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.peers.announcedAt = null;
  follower.machine.term = 6;
  assert.equal((await follower.sendHeartbeat(6)).status, 200);
  await follower.clock.advance(follower.ctx.timing.delegatedRenewalMs + 1);
  // The agent still does not know the term, but this node's own replies are no newer proof.
  assert.equal((await follower.sendHeartbeat(6)).status, 421);
});

test('a heartbeat of another machine at the agent’s address is no proof about the agent', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.peers.announcedAt = null;
  follower.machine.term = 6;
  follower.machine.id = 'n-000002';
  assert.equal((await follower.sendHeartbeat(6)).status, 421);
  follower.machine.id = 'n-000001';
  assert.equal((await follower.sendHeartbeat(6)).status, 200);
});

test('a delegated renewal keeps the machine’s fence from the same term but not from an earlier one', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  const tokenAfter = async (term: number) =>
    ((await follower.sendHeartbeat(term, 3)).body as { baton: number }).baton;
  assert.equal(await tokenAfter(7), fencingToken(7, 3));
  assert.equal(await tokenAfter(6), fencingToken(7, 0));
});

test('a follower sends no stop commands for tasks that have exited', async () => {
  const follower = createFollower();
  follower.peers.reachable = false;
  follower.store.transact([], [{ op: 'put', key: 'live/req-1', value: {} }]);
  assert.deepEqual(await follower.sendHeartbeat(7, 0, true), {
    status: 200,
    body: { baton: fencingToken(7, 0), orders: [] },
  });
});

/** Creates the heartbeat handler of a controller that leads term 7. */
function createLeader() {
  const { ctx, peers, fetchHeartbeat } = createFollower();
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
    waitUntilReady: () => leader.ready,
    handleHeartbeat: () => {
      leader.handled++;
      return { commands: [], fence: 2 };
    },
  };
  const handler = new HeartbeatHandler({
    ctx,
    election: { leaderNode: 'n-1', observedTerm: 7, currentTerm: term } as never,
    leader: () => leader as never,
    peers,
    fetchHeartbeat,
  });
  const heartbeat = (termNumber: number) => ({
    ...new ScriptedAgent('n-000001').heartbeat(),
    term: termNumber,
  });
  return { term, leader, handler, heartbeat };
}

test('a heartbeat with a later term makes the leader resign and is not processed', async () => {
  const { term, leader, handler, heartbeat } = createLeader();
  assert.deepEqual(await handler.handleAsLeader(heartbeat(7), false), {
    status: 200,
    body: { baton: fencingToken(7, 2), orders: [] },
  });
  assert.deepEqual(await handler.handleAsLeader(heartbeat(8), false), { status: 421, body: {} });
  assert.deepEqual([term.resigned, leader.handled], [true, 1]);
});

test('a heartbeat waits until the leader has read the jobs', async () => {
  const { leader, handler, heartbeat } = createLeader();
  let jobsRead = () => {};
  leader.ready = new Promise((resolve) => {
    jobsRead = resolve;
  });
  const reply = handler.handleAsLeader(heartbeat(7), false);
  await settle();
  assert.equal(leader.handled, 0);
  jobsRead();
  assert.equal((await reply).status, 200);
});

test('an agent that is redirected after being served for a lease is served again when it returns', async () => {
  const follower = createFollower();
  await follower.sendHeartbeat();
  let served = 0;
  for (;;) {
    await follower.clock.advance(3000);
    if ((await follower.sendHeartbeat()).status === 421) break;
    served++;
  }
  assert.ok(served * 3000 > follower.ctx.timing.agentLeaseMs);
  for (let i = 0; i < served; i++) {
    await follower.clock.advance(3000);
    assert.equal((await follower.sendHeartbeat()).status, 200);
  }
});

test('a node that is recorded as the leader but does not lead names no leader in its redirect', async () => {
  const follower = createFollower();
  follower.leadership.leaderNode = 'n-1';
  assert.deepEqual(await follower.sendHeartbeat(), { status: 421, body: {} });
});
