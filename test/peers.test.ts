import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MailboxBackoffError,
  MailboxMessageTooLargeError,
  PeerProtocolError,
} from '../src/controller/membership/peer-errors.js';
import { type PeerHandlers, servePeerRequest } from '../src/controller/membership/peer-handlers.js';
import { createPeers } from '../src/controller/membership/peers.js';
import { PeerUnavailableError } from '../src/peer/peer-link.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

const UNUSED_HANDLERS: PeerHandlers = {
  currentStatus: () => assert.fail('unexpected call'),
  observeTerm: () => {},
  serveUser: () => Promise.reject(new Error('unexpected call')),
  handleHeartbeat: () => Promise.reject(new Error('unexpected call')),
  announceCancellation: () => {},
};

function setUp() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const ctx = createContext('n-0', new FakeStateService(store), clock);
  return { clock, ctx, store, peers: createPeers(ctx, UNUSED_HANDLERS) };
}

test('after a mailbox request times out, requests to the same node are refused during a back-off', async () => {
  const { clock, ctx, store, peers } = setUp();
  const relay = () => peers.relayThroughMailbox('n-1', 'm-1', Buffer.from('{}'));
  const first = assert.rejects(relay(), (error) => !(error instanceof MailboxBackoffError));
  await clock.advance(ctx.timing.stateTimeoutMs);
  await first;
  const { revision } = store;
  await assert.rejects(relay(), MailboxBackoffError);
  // Requests to another node are still sent, and those to this node again after the back-off.
  const other = assert.rejects(
    peers.relayThroughMailbox('n-2', 'm-1', Buffer.from('{}')),
    (error) => !(error instanceof MailboxBackoffError),
  );
  await clock.advance(ctx.timing.leaderLeaseMs * 0.5);
  await other;
  assert.ok(store.revision > revision);
  const again = assert.rejects(relay(), (error) => !(error instanceof MailboxBackoffError));
  await clock.advance(ctx.timing.stateTimeoutMs);
  await again;
});

test('a heartbeat too large for a mailbox message is refused without a write and without a back-off', async () => {
  const { ctx, store, peers } = setUp();
  const { revision } = store;
  const large = Buffer.alloc(ctx.limits.valueBytes);
  for (let i = 0; i < 2; i++)
    await assert.rejects(
      peers.relayThroughMailbox('n-1', 'm-1', large),
      MailboxMessageTooLargeError,
    );
  assert.equal(store.revision, revision);
});

test('a request to a peer that is not connected fails at once', async () => {
  const { peers } = setUp();
  await assert.rejects(
    peers.forwardRequest('n-1', 'GET', '/v1/jobs/req-000001', Buffer.alloc(0)),
    PeerUnavailableError,
  );
});

test('a peer request with an unknown operation is refused', async () => {
  await assert.rejects(servePeerRequest(UNUSED_HANDLERS, 'later', null), PeerProtocolError);
});
