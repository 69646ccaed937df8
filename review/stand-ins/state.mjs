// The state service: a small consistent store, as PROTOCOL-passcart.md describes it. It listens
// on one port for each controller, so that a trouble can hit one controller alone.
import { serveJson } from './http.mjs';
import { sleep } from './record.mjs';

const HISTORY = 10_000;

export class StateService {
  /**
   * `trouble(node, request)` returns null, or what happens to the request:
   * `{ refuse: true }` (503), `{ late: ms }` (a transaction gets no answer and is carried out
   * after that time), `{ answerLost: true }` (carried out at once, no answer).
   */
  constructor(record, trouble = () => null) {
    this.record = record;
    this.trouble = trouble;
    this.keys = new Map();
    this.leases = new Map();
    this.revision = 0;
    this.nextLease = 1;
    this.history = [];
    this.waiting = new Set();
    this.servers = [];
    this.timer = setInterval(() => this.endLeases(), 5);
  }

  async listen(node, port) {
    this.servers.push(
      await serveJson(port, (request, body) => this.handle(node, request, body)),
    );
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  async handle(node, { method, url }, body) {
    const { pathname, searchParams } = new URL(url, 'http://state');
    const request = { method, path: pathname, search: searchParams, body };
    const trouble = this.trouble(node, request);
    if (trouble?.refuse) {
      this.record.add(node, `state: ${method} ${url} -> 503 (refused for this node alone)`);
      return { status: 503, body: { error: 'refused' } };
    }
    if (trouble?.late) {
      this.record.add(node, `state: ${text(request)} -> no answer, carried out ${trouble.late} ms later`);
      await sleep(trouble.late);
      const reply = this.execute(request);
      this.record.add(node, `state: late ${text(request)} -> carried out with ${reply.status} ${JSON.stringify(reply.body)}`);
      return null;
    }
    const reply = await this.execute(request);
    if (pathname === '/multi' || pathname.startsWith('/grants'))
      this.record.add(node, `state: ${text(request)} -> ${trouble?.answerLost ? 'answer lost: ' : ''}${reply.status} ${JSON.stringify(reply.body)}`);
    return trouble?.answerLost ? null : reply;
  }

  execute({ method, path, search, body }) {
    if (path === '/multi' && method === 'POST') return this.transact(body);
    if (path === '/store' && method === 'GET') return this.list(search);
    if (path.startsWith('/store/') && method === 'GET') return this.read(decodeURIComponent(path.slice(7)));
    if (path === '/grants' && method === 'POST') return this.grant(body);
    const touch = /^\/grants\/(\d+)\/touch$/.exec(path);
    if (touch && method === 'POST') return this.touch(Number(touch[1]));
    const lease = /^\/grants\/(\d+)$/.exec(path);
    if (lease && method === 'DELETE') return this.endLease(Number(lease[1]));
    if (path === '/follow' && method === 'GET') return this.follow(search);
    return { status: 400, body: { error: 'malformed' } };
  }

  read(key) {
    const entry = this.keys.get(key);
    return entry
      ? { status: 200, body: row(key, entry) }
      : { status: 404, body: { ledgerRev: this.revision } };
  }

  list(search) {
    const prefix = search.get('starts') ?? '';
    const after = search.get('after') ?? '';
    const limit = Math.min(1000, Number(search.get('limit') ?? 1000));
    const found = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const rows = found.slice(0, limit).map((key) => row(key, this.keys.get(key)));
    return { status: 200, body: { rows, hasNext: found.length > limit, ledgerRev: this.revision } };
  }

  transact({ when = [], writes = [] }) {
    for (const write of writes)
      if (write.ticket !== undefined && !this.leases.has(write.ticket))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = when
      .filter(({ path, stamp }) => (this.keys.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (writes.length > 0) {
      this.revision++;
      for (const write of writes)
        if (write.set !== undefined) this.put(write);
        else this.remove(write.delete);
      this.notify();
    }
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  put({ set: key, v, ticket }) {
    const old = this.keys.get(key);
    if (old?.ticket !== undefined) this.leases.get(old.ticket)?.keys.delete(key);
    this.keys.set(key, { v, stamp: this.revision, ticket });
    if (ticket !== undefined) this.leases.get(ticket).keys.add(key);
    this.log({ set: key, v, stamp: this.revision });
  }

  remove(key) {
    const old = this.keys.get(key);
    if (!old) return;
    if (old.ticket !== undefined) this.leases.get(old.ticket)?.keys.delete(key);
    this.keys.delete(key);
    this.log({ delete: key, stamp: this.revision });
  }

  log(change) {
    this.history.push(change);
    if (this.history.length > HISTORY) this.history.shift();
  }

  grant({ lifeMs }) {
    if (!(lifeMs >= 100 && lifeMs <= 600_000)) return { status: 400, body: { error: 'lifeMs' } };
    const ticket = this.nextLease++;
    this.leases.set(ticket, { lifeMs, endsAt: performance.now() + lifeMs, keys: new Set() });
    return { status: 200, body: { ticket } };
  }

  touch(ticket) {
    const lease = this.leases.get(ticket);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    lease.endsAt = performance.now() + lease.lifeMs;
    return { status: 200, body: {} };
  }

  endLease(ticket) {
    const lease = this.leases.get(ticket);
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    this.leases.delete(ticket);
    if (lease.keys.size > 0) {
      this.revision++;
      for (const key of [...lease.keys]) this.remove(key);
      this.notify();
    }
    return { status: 200, body: {} };
  }

  /** Ends the leases whose time is over: never early, and a few milliseconds late at the most. */
  endLeases() {
    const now = performance.now();
    for (const [ticket, { endsAt, keys }] of [...this.leases])
      if (now > endsAt) {
        if (keys.size > 0) this.record.add('state', `lease ${ticket} ended, keys removed: ${[...keys].join(' ')}`);
        this.endLease(ticket);
      }
  }

  follow(search) {
    const prefix = search.get('starts') ?? '';
    const after = Number(search.get('after') ?? 0);
    const waitMs = Math.min(60_000, Number(search.get('waitMs') ?? 0));
    const oldest = this.history[0]?.stamp ?? 1;
    if (this.history.length >= HISTORY && after < oldest) return { status: 410, body: { error: 'too old' } };
    const answer = () => {
      const news = this.history.filter(
        (change) => change.stamp > after && (change.set ?? change.delete).startsWith(prefix),
      );
      return { status: 200, body: { ledgerRev: this.revision, news } };
    };
    const first = answer();
    if (first.body.news.length > 0 || waitMs === 0) return first;
    return new Promise((resolve) => {
      const check = () => {
        const reply = answer();
        if (reply.body.news.length > 0) finish(reply);
      };
      const finish = (reply) => {
        clearTimeout(timer);
        this.waiting.delete(check);
        resolve(reply);
      };
      const timer = setTimeout(() => finish(answer()), waitMs);
      this.waiting.add(check);
    });
  }

  notify() {
    for (const check of [...this.waiting]) check();
  }
}

function row(path, { v, stamp, ticket }) {
  return ticket === undefined ? { path, v, stamp } : { path, v, stamp, ticket };
}

function text({ method, path, body }) {
  return `${method} ${path}${method === 'POST' ? ` ${JSON.stringify(body)}` : ''}`;
}
