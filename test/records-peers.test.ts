import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { type TestContext, test } from 'node:test';
import type { ControllerContext } from '../src/controller/context.js';
import { createPeers } from '../src/controller/membership/peers.js';
import type { PeerStatus } from '../src/records/peer-frames.js';
import { FakeClock, settle } from './support/clock.js';
import { recordingNode } from './support/recording.js';
import { PEER_FRAMES } from './support/records.js';

const SENT_STATUS: PeerStatus = {
  node: 'n-0',
  incarnation: 'n-0-1',
  sentAt: 1_800_000_001_000,
  term: 3,
  leading: true,
  stateOk: true,
  memoryShort: false,
  counts: [['req-000412', 9, 4]],
};

/** A frame's bytes without the length before it. */
const bytesOf = (hex: string) => Buffer.from(hex, 'hex');

/** Bounded by steps and never by real time, of which a busy machine may need any amount. */
async function until(holds: () => boolean, step: () => Promise<unknown>): Promise<void> {
  for (let i = 0; i < 2000 && !holds(); i++) {
    await step();
    await settle();
  }
  assert.ok(holds(), 'in time');
}

/** A node's real duties towards its peers, and a peer that is played by bare sockets. */
async function meeting(t: TestContext) {
  // The sockets are real: time-outs of connections and questions never come.
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = new FakeClock();
  const stop = new AbortController();
  const heard: Buffer[] = [];
  const dialled: net.Socket[] = [];
  const listener = net.createServer((socket) => {
    dialled.push(socket);
    socket.on('data', (data) => heard.push(data));
    socket.on('error', () => {});
  });
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const free = net.createServer().listen(0, '127.0.0.1');
  await once(free, 'listening');
  const { port } = free.address() as net.AddressInfo;
  free.close();
  await once(free, 'close');
  const node = recordingNode(clock);
  const peerPort = (listener.address() as net.AddressInfo).port;
  const ctx: ControllerContext = {
    ...node.ctx,
    platform: {
      ...node.ctx.platform,
      peer_listen: `127.0.0.1:${port}`,
      peers: [{ node: 'n-1', zone: 'a', address: `127.0.0.1:${peerPort}` }],
    },
  };
  const taken: unknown[] = [];
  const peers = createPeers(ctx, {
    currentStatus: () => SENT_STATUS,
    observeTerm: (term) => taken.push(['term', term]),
    serveUser: async (method, target, body) => {
      taken.push(['user', method, target, body.toString()]);
      return { status: 503, body: { error: 'later' }, retryAfterS: 1 };
    },
    handleHeartbeat: async (body) => {
      taken.push(['report', body.toString()]);
      return { status: 200, body: { baton: 3_145_728, orders: [] } };
    },
    announceCancellation: (job, revision) => taken.push(['cancelled', job, revision]),
  });
  void peers.run(stop.signal);
  await until(
    () => dialled.length > 0,
    () => clock.advance(ctx.timing.renewMs),
  );
  const socket = net.connect(port, '127.0.0.1');
  await once(socket, 'connect');
  const answers: Buffer[] = [];
  socket.on('data', (data) => answers.push(data));
  return {
    clock,
    ctx,
    peers,
    taken,
    /** The bytes that the node sends on its own connection. */
    heard: () => Buffer.concat(heard).toString('hex'),
    /** Sends the node bytes as its peer. */
    send: (hex: string) => socket.write(bytesOf(hex)),
    /** The bytes that the node answers with. */
    answers: () => Buffer.concat(answers).toString('hex'),
    /** Answers the node's own question. */
    reply: (hex: string) => dialled.at(-1)?.write(bytesOf(hex)),
    forget: () => heard.splice(0),
    end: () => {
      stop.abort();
      socket.destroy();
      for (const s of dialled) s.destroy();
      listener.close();
    },
  };
}

test('what a node tells its peers and asks them is these bytes, and answers are read', async (t) => {
  const m = await meeting(t);
  try {
    await until(
      () => m.heard().length > 0,
      () => m.clock.advance(m.ctx.timing.renewMs),
    );
    assert.equal(m.heard().slice(0, PEER_FRAMES.status.length), PEER_FRAMES.status);
    m.send(PEER_FRAMES.peerStatus);
    await until(() => m.peers.isReachable('n-1'), settle);
    assert.deepEqual(m.taken, [['term', 2]]);
    const ask = async (question: () => Promise<unknown>, sent: string, answer: string) => {
      m.forget();
      const asked = question();
      await until(() => m.heard().includes(sent), settle);
      m.reply(answer);
      return asked;
    };
    await ask(
      () => m.peers.announceCancellation('req-000412', 90),
      PEER_FRAMES.cancelled,
      PEER_FRAMES.nothing,
    );
    assert.deepEqual(
      await ask(
        () => m.peers.forwardRequest('n-1', 'POST', '/v1/jobs', Buffer.from('{"id":"req-1"}')),
        PEER_FRAMES.user,
        PEER_FRAMES.userReply,
      ),
      { status: 503, body: { error: 'later' }, retryAfterS: 1 },
    );
    assert.deepEqual(
      await ask(
        () => m.peers.forwardHeartbeat('n-1', Buffer.from('{"cart":"m-7"}')),
        PEER_FRAMES.report,
        PEER_FRAMES.reportReply,
      ),
      { status: 200, body: { baton: 3_145_728, orders: [] } },
    );
  } finally {
    m.end();
  }
});

test('what peers ask is read from these bytes, and answered with these', async (t) => {
  const m = await meeting(t);
  try {
    const answer = async (question: string, expected: string) => {
      const before = m.answers().length;
      m.send(question);
      await until(() => m.answers().length > before, settle);
      assert.equal(m.answers().slice(before), expected);
    };
    await answer(PEER_FRAMES.cancelled, PEER_FRAMES.nothing);
    await answer(PEER_FRAMES.user, PEER_FRAMES.userReply);
    await answer(PEER_FRAMES.report, PEER_FRAMES.reportReply);
    assert.deepEqual(m.taken, [
      ['cancelled', 'req-000412', 90],
      ['user', 'POST', '/v1/jobs', '{"id":"req-1"}'],
      ['report', '{"cart":"m-7"}'],
    ]);
  } finally {
    m.end();
  }
});

test('a peer of an earlier version says nothing of its memory, and its counts are taken', async (t) => {
  const m = await meeting(t);
  try {
    m.send(PEER_FRAMES.earlierStatus);
    await until(() => m.peers.isReachable('n-1'), settle);
    assert.equal(m.peers.statuses.isLeaderMemoryShort(), false);
    assert.deepEqual(m.peers.statuses.taskCountsOf('req-000412'), { done: 9, running: 4 });
    assert.equal(m.peers.lastLedAt('n-1', 3), m.clock.now());
    assert.equal(m.peers.statuses.findServedPeer(), 'n-1');
  } finally {
    m.end();
  }
});
