import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { type TestContext, test } from 'node:test';
import type { ControllerContext } from '../src/controller/context.js';
import { createPeers } from '../src/controller/membership/peers.js';
import type { PeerStatus } from '../src/records/peer-frames.js';
import { FakeClock, settle } from './support/clock.js';
import { createRecordingNode } from './support/recording.js';
import { PEER_FRAMES } from './support/records.js';

const SENT_STATUS: PeerStatus = {
  node: 'n-0',
  incarnation: 'n-0-1',
  sentAt: 1_800_000_001_000,
  term: 3,
  leading: true,
  stateServiceAvailable: true,
  memoryShort: false,
  taskCounts: [['req-000412', 9, 4]],
};

/** Returns the bytes of a frame that is written in hexadecimal. */
const bytesOf = (hex: string) => Buffer.from(hex, 'hex');

/**
 * Repeats the step until the condition holds. Limits steps and not real time, since a
 * busy machine may be slow.
 */
async function waitUntil(condition: () => boolean, step: () => Promise<unknown>): Promise<void> {
  for (let i = 0; i < 2000 && !condition(); i++) {
    await step();
    await settle();
  }
  assert.ok(condition(), 'condition not met within the limit of steps');
}

/** Starts the peer routines of a node and a simulated peer that consists of plain sockets. */
async function startNodeWithPeer(t: TestContext) {
  // The sockets are real, so timers are mocked: connections and requests must not time out.
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = new FakeClock();
  const stop = new AbortController();
  const sentByNode: Buffer[] = [];
  const peerSockets: net.Socket[] = [];
  const listener = net.createServer((socket) => {
    peerSockets.push(socket);
    socket.on('data', (data) => sentByNode.push(data));
    socket.on('error', () => {});
  });
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const portProbe = net.createServer().listen(0, '127.0.0.1');
  await once(portProbe, 'listening');
  const { port } = portProbe.address() as net.AddressInfo;
  portProbe.close();
  await once(portProbe, 'close');
  const node = createRecordingNode(clock);
  const peerPort = (listener.address() as net.AddressInfo).port;
  const ctx: ControllerContext = {
    ...node.ctx,
    platform: {
      ...node.ctx.platform,
      peer_listen: `127.0.0.1:${port}`,
      peers: [{ node: 'n-1', zone: 'a', address: `127.0.0.1:${peerPort}` }],
    },
  };
  const handlerCalls: unknown[] = [];
  const peers = createPeers(ctx, {
    currentStatus: () => SENT_STATUS,
    observeTerm: (term) => handlerCalls.push(['term', term]),
    serveUser: async (method, target, body) => {
      handlerCalls.push(['user', method, target, body.toString()]);
      return { status: 503, body: { error: 'later' }, retryAfterS: 1 };
    },
    handleHeartbeat: async (body) => {
      handlerCalls.push(['report', body.toString()]);
      return { status: 200, body: { baton: 3_145_728, orders: [] } };
    },
    announceCancellation: (job, revision) => handlerCalls.push(['cancelled', job, revision]),
  });
  void peers.run(stop.signal);
  await waitUntil(
    () => peerSockets.length > 0,
    () => clock.advance(ctx.timing.renewalIntervalMs),
  );
  const socket = net.connect(port, '127.0.0.1');
  await once(socket, 'connect');
  const responsesOfNode: Buffer[] = [];
  socket.on('data', (data) => responsesOfNode.push(data));
  return {
    clock,
    ctx,
    peers,
    handlerCalls,
    /** Returns the bytes that the node has sent on its own connection, as hexadecimal. */
    sentByNode: () => Buffer.concat(sentByNode).toString('hex'),
    /** Sends bytes to the node on the peer's connection. */
    send: (hex: string) => socket.write(bytesOf(hex)),
    /** Returns the bytes that the node has sent on the peer's connection, as hexadecimal. */
    responsesOfNode: () => Buffer.concat(responsesOfNode).toString('hex'),
    /** Responds to a request of the node. */
    respond: (hex: string) => peerSockets.at(-1)?.write(bytesOf(hex)),
    clearSent: () => sentByNode.splice(0),
    close: () => {
      stop.abort();
      socket.destroy();
      for (const peerSocket of peerSockets) peerSocket.destroy();
      listener.close();
    },
  };
}

test('the status and requests of a node are the recorded bytes, and recorded responses are decoded', async (t) => {
  const setup = await startNodeWithPeer(t);
  try {
    await waitUntil(
      () => setup.sentByNode().length > 0,
      () => setup.clock.advance(setup.ctx.timing.renewalIntervalMs),
    );
    assert.equal(setup.sentByNode().slice(0, PEER_FRAMES.status.length), PEER_FRAMES.status);
    setup.send(PEER_FRAMES.peerStatus);
    await waitUntil(() => setup.peers.isReachable('n-1'), settle);
    assert.deepEqual(setup.handlerCalls, [['term', 2]]);
    const request = async (
      send: () => Promise<unknown>,
      requestHex: string,
      responseHex: string,
    ) => {
      setup.clearSent();
      const response = send();
      await waitUntil(() => setup.sentByNode().includes(requestHex), settle);
      setup.respond(responseHex);
      return response;
    };
    await request(
      () => setup.peers.announceCancellation('req-000412', 90),
      PEER_FRAMES.cancelled,
      PEER_FRAMES.nothing,
    );
    assert.deepEqual(
      await request(
        () => setup.peers.forwardRequest('n-1', 'POST', '/v1/jobs', Buffer.from('{"id":"req-1"}')),
        PEER_FRAMES.user,
        PEER_FRAMES.userReply,
      ),
      { status: 503, body: { error: 'later' }, retryAfterS: 1 },
    );
    assert.deepEqual(
      await request(
        () => setup.peers.relayHeartbeat('n-1', Buffer.from('{"cart":"m-7"}')),
        PEER_FRAMES.report,
        PEER_FRAMES.reportReply,
      ),
      { status: 200, body: { baton: 3_145_728, orders: [] } },
    );
  } finally {
    setup.close();
  }
});

test('recorded requests of a peer are decoded, and the responses are the recorded bytes', async (t) => {
  const setup = await startNodeWithPeer(t);
  try {
    const assertResponse = async (request: string, expected: string) => {
      const before = setup.responsesOfNode().length;
      setup.send(request);
      await waitUntil(() => setup.responsesOfNode().length > before, settle);
      assert.equal(setup.responsesOfNode().slice(before), expected);
    };
    await assertResponse(PEER_FRAMES.cancelled, PEER_FRAMES.nothing);
    await assertResponse(PEER_FRAMES.user, PEER_FRAMES.userReply);
    await assertResponse(PEER_FRAMES.report, PEER_FRAMES.reportReply);
    assert.deepEqual(setup.handlerCalls, [
      ['cancelled', 'req-000412', 90],
      ['user', 'POST', '/v1/jobs', '{"id":"req-1"}'],
      ['report', '{"cart":"m-7"}'],
    ]);
  } finally {
    setup.close();
  }
});

test('the status of an earlier version, without memoryShort, is accepted with its task counts', async (t) => {
  const setup = await startNodeWithPeer(t);
  try {
    setup.send(PEER_FRAMES.earlierStatus);
    await waitUntil(() => setup.peers.isReachable('n-1'), settle);
    assert.equal(setup.peers.statuses.isLeaderMemoryLow(), false);
    assert.deepEqual(setup.peers.statuses.taskCountsOf('req-000412'), { done: 9, running: 4 });
    assert.equal(setup.peers.lastLedAt('n-1', 3), setup.clock.now());
    assert.equal(setup.peers.statuses.findServedPeer(), 'n-1');
  } finally {
    setup.close();
  }
});
