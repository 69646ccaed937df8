import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { RequestRouter } from '../src/controller/request-router.js';
import type { Message } from '../src/http/message.js';
import type { Reply } from '../src/http/reply.js';
import { MACHINE_TYPE } from './support/scheduler.js';

const SERVED: Reply = { status: 200, body: { by: 'this node' } };
const UNAVAILABLE: Reply = { status: 503, body: { error: 'try again' }, retryAfterS: 1 };
const FORWARDED: Reply = { status: 201, body: { by: 'the peer' } };

/** Creates a router whose components record their calls and reply as `behavior` says. */
function createRouter() {
  const calls: string[] = [];
  const behavior = {
    ownReply: SERVED,
    peerReply: FORWARDED as Reply | Error,
    servedPeer: 'n-1' as string | null,
    isFailing: false,
    isUnresponsive: false,
    isHealthy: true,
  };
  const serve = (name: string) => async () => {
    calls.push(name);
    return behavior.ownReply;
  };
  const ctx = { log: pino({ level: 'silent' }), machineTypes: [MACHINE_TYPE] as unknown[] | null };
  const router = new RequestRouter(ctx as never, {
    jobApi: {
      submit: serve('submit'),
      query: (id) => serve(`query ${id}`)(),
      cancel: (id) => serve(`cancel ${id}`)(),
    },
    heartbeats: { handle: serve('heartbeat') },
    health: {
      isStateServiceFailing: () => behavior.isFailing,
      isStateServiceUnresponsive: () => behavior.isUnresponsive,
      get isHealthy() {
        return behavior.isHealthy;
      },
    },
    peers: {
      statuses: { findServedPeer: () => behavior.servedPeer },
      forwardRequest: async (node, method, target) => {
        calls.push(`forward ${node} ${method} ${target}`);
        if (behavior.peerReply instanceof Error) throw behavior.peerReply;
        return behavior.peerReply;
      },
    },
  });
  const request = (method: string, target: string) =>
    router.route({ method, target, body: Buffer.alloc(0) } as Message);
  return { behavior, calls, ctx, request, router };
}

test('each path has one method and one handler', async () => {
  const { calls, request } = createRouter();
  for (const [method, target] of [
    ['POST', '/v1/jobs'],
    ['POST', '/v1/jobs?again=1'],
    ['GET', '/v1/jobs/req-000001'],
    ['POST', '/v1/jobs/req-000001/withdraw'],
  ] as const)
    assert.equal((await request(method, target)).status, 200, target);
  assert.deepEqual(calls, ['submit', 'submit', 'query req-000001', 'cancel req-000001']);
  for (const [method, target, allowed] of [
    ['GET', '/v1/jobs', 'POST'],
    ['DELETE', '/v1/jobs/req-000001', 'GET'],
    ['GET', '/v1/jobs/req-000001/withdraw', 'POST'],
  ] as const) {
    const reply = await request(method, target);
    assert.deepEqual([reply.status, reply.body], [405, { error: `use ${allowed}` }], target);
  }
  for (const target of ['/', '/v1/jobs/req-000001/other', '/v1/jobs/req-000001/withdraw/again'])
    assert.equal((await request('GET', target)).status, 404, target);
  assert.equal(calls.length, 4);
});

test('a user request is served by a peer while the state service fails only for this node', async () => {
  const { behavior, calls, request } = createRouter();
  behavior.isFailing = true;
  assert.deepEqual(await request('GET', '/v1/jobs/req-000001'), FORWARDED);
  assert.deepEqual(calls, ['forward n-1 GET /v1/jobs/req-000001']);
});

test('a 503 is returned when no peer has a better reply, and at once while the state service is unresponsive', async () => {
  const { behavior, calls, request } = createRouter();
  behavior.ownReply = UNAVAILABLE;
  assert.deepEqual(await request('POST', '/v1/jobs'), FORWARDED);
  for (const peer of [UNAVAILABLE, new Error('timed out')]) {
    behavior.peerReply = peer;
    assert.deepEqual(await request('POST', '/v1/jobs'), UNAVAILABLE);
  }
  behavior.isFailing = true;
  behavior.isUnresponsive = true;
  behavior.servedPeer = null;
  calls.length = 0;
  const reply = await request('POST', '/v1/jobs');
  assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
  assert.deepEqual(calls, []);
});

test('a request that a peer forwarded is never forwarded again', async () => {
  const { behavior, calls, router } = createRouter();
  behavior.isFailing = true;
  behavior.ownReply = UNAVAILABLE;
  assert.deepEqual(await router.serveUser('POST', '/v1/jobs', Buffer.alloc(0)), UNAVAILABLE);
  assert.deepEqual(calls, ['submit']);
});
