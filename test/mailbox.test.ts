import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Mailbox, MailboxTimeoutError } from '../src/controller/heartbeats/mailbox.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

test('requests and responses pass through the state service, and their keys expire', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const stop = new AbortController();
  const node = (name: string, onRequest: (text: string) => Promise<unknown>) => {
    const mailbox = new Mailbox(createContext(name, new FakeStateService(store), clock), onRequest);
    void mailbox.run(stop.signal);
    return mailbox;
  };
  const requester = node('n-0', () => Promise.reject(new Error('unexpected call')));
  node('n-1', (text) => Promise.resolve({ got: text }));
  await settle();
  const [first, second] = await Promise.all([
    requester.request('n-1', 'm-1', 'first', 1000),
    requester.request('n-1', 'm-2', 'second', 1000),
  ]);
  assert.deepEqual([first, second], [{ got: 'first' }, { got: 'second' }]);
  // A request to a node that does not exist times out.
  const timedOut = assert.rejects(requester.request('n-2', 'm-1', 'x', 1000), /not answered/);
  await clock.advance(1000);
  await timedOut;
  await clock.advance(60_000);
  store.expireLeases();
  assert.deepEqual([...store.entries.keys()], []);
  stop.abort();
});

test('a response larger than a value is not sent, and its request times out', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const stop = new AbortController();
  const requester = new Mailbox(createContext('n-0', new FakeStateService(store), clock), () =>
    Promise.reject(new Error('unexpected call')),
  );
  const context = createContext('n-1', new FakeStateService(store), clock);
  const responder = new Mailbox(context, async () => 'x'.repeat(context.limits.valueBytes));
  for (const mailbox of [requester, responder]) void mailbox.run(stop.signal);
  await settle();
  const timedOut = assert.rejects(requester.request('n-1', 'm-1', 'x', 1000), MailboxTimeoutError);
  await clock.advance(1000);
  await timedOut;
  assert.ok(![...store.entries.keys()].some((key) => key.startsWith('mail/n-0/')));
  stop.abort();
});

test('a message is attached to a new lease once half of the current one has passed', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const ctx = createContext('n-0', new FakeStateService(store), clock);
  const mailbox = new Mailbox(ctx, () => Promise.reject(new Error('unexpected call')));
  const leases = new Set<unknown>();
  const send = async () => {
    const timedOut = assert.rejects(mailbox.request('n-1', 'm-1', 'x', 1), MailboxTimeoutError);
    await clock.advance(1);
    await timedOut;
    leases.add(store.entries.get('mail/n-1/n-0/m-1')?.lease);
  };
  await send();
  await send();
  assert.equal(leases.size, 1);
  await clock.advance(ctx.timing.agentLeaseMs * 0.5);
  await send();
  assert.equal(leases.size, 2);
});
