/**
 * A stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). Each
 * controller gets an address of its own, so that a trouble can meet one of them alone.
 */
import { serveJson, sleep } from './http.mjs';

const HISTORY = 10_000;
const PAGE_ITEMS = 1000;

class Bucket {
  constructor(perS) {
    this.perS = perS;
    this.tokens = perS;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perS, this.tokens + ((now - this.at) / 1000) * this.perS);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  entries = new Map();
  revision = 1;
  events = [];
  leases = new Map();
  lastLease = 0;
  watchers = new Set();
  /** By node: `ok`, `refuse` (503, open watches wait) or `silent` (no answer, nothing carried out). */
  mode = new Map();
  /** Called with each transaction before it is carried out: (node, transaction) => nothing. */
  onTransaction = () => {};

  constructor(settings) {
    this.settings = settings;
    this.requests = new Bucket(settings.rps);
    this.changes = new Bucket(settings.write_rps);
  }

  async start(nodes) {
    this.servers = new Map();
    for (const node of nodes) {
      this.mode.set(node, 'ok');
      this.servers.set(
        node,
        await serveJson((method, path, query, body) => this.handle(node, method, path, query, body)),
      );
    }
    this.timer = setInterval(() => this.expire(), 20);
  }

  addressFor(node) {
    return this.servers.get(node).address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers.values()) server.close();
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.expiresAt <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, entry]) => entry.lease === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ delete: key })));
  }

  apply(writes) {
    this.revision++;
    for (const write of writes) {
      if (write.delete !== undefined) {
        if (!this.entries.delete(write.delete)) continue;
        this.events.push({ delete: write.delete, stamp: this.revision });
      } else {
        this.entries.set(write.set, { v: write.v, stamp: this.revision, lease: write.ticket ?? null });
        this.events.push({ set: write.set, v: write.v, stamp: this.revision });
      }
    }
    if (this.events.length > HISTORY) this.events.splice(0, this.events.length - HISTORY);
    for (const wake of this.watchers) wake();
  }

  async handle(node, method, path, query, body) {
    await sleep(1 + Math.random() * 3);
    const mode = this.mode.get(node);
    if (mode === 'silent') return null;
    if (mode === 'refuse') return { status: 503, body: { error: 'unavailable' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'too many requests' } };
    if (path === '/follow') return this.follow(node, query);
    if (path === '/store') return this.list(query);
    if (path.startsWith('/store/')) return this.get(path.slice('/store/'.length));
    if (path === '/multi' && method === 'POST') return this.transact(node, body);
    if (path === '/grants' && method === 'POST') {
      const id = ++this.lastLease;
      this.leases.set(id, { lifeMs: body.lifeMs, expiresAt: performance.now() + body.lifeMs });
      return { status: 200, body: { ticket: id } };
    }
    const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    if (grant) return this.grant(method, Number(grant[1]), grant[2] !== undefined);
    return { status: 400, body: { error: 'malformed' } };
  }

  grant(method, id, touch) {
    const lease = this.leases.get(id);
    if (method === 'DELETE') {
      if (!lease) return { status: 404, body: { error: 'no such lease' } };
      this.endLease(id);
      return { status: 200, body: {} };
    }
    if (!lease || !touch) return { status: 404, body: { error: 'no such lease' } };
    lease.expiresAt = performance.now() + lease.lifeMs;
    return { status: 200, body: { ticket: id } };
  }

  get(key) {
    const entry = this.entries.get(key);
    if (!entry) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: { path: key, v: entry.v, stamp: entry.stamp, ticket: entry.lease } };
  }

  list(query) {
    const starts = query.get('starts') ?? '';
    const after = query.get('after') ?? '';
    const limit = Math.min(Number(query.get('limit') ?? PAGE_ITEMS), PAGE_ITEMS);
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(starts) && key > after);
    keys.sort();
    const rows = keys.slice(0, limit).map((key) => {
      const entry = this.entries.get(key);
      return { path: key, v: entry.v, stamp: entry.stamp, ticket: entry.lease };
    });
    return {
      status: 200,
      body: { rows, hasNext: keys.length > rows.length, ledgerRev: this.revision },
    };
  }

  transact(node, { when = [], writes = [] }) {
    const { txn_ops: maxChanges, value_kb: valueKb } = this.settings;
    if (writes.length > maxChanges || when.length > maxChanges * 4)
      return { status: 400, body: { error: 'too many' } };
    for (const write of writes)
      if (write.set !== undefined && Buffer.byteLength(JSON.stringify(write.v)) > valueKb * 1024)
        return { status: 400, body: { error: 'value too large' } };
    if (!this.changes.take(writes.length)) return { status: 429, body: { error: 'too many changes' } };
    for (const write of writes)
      if (write.ticket != null && !this.leases.has(write.ticket))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = when
      .filter(({ path, stamp }) => (this.entries.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    this.onTransaction(node, { when, writes });
    if (writes.length > 0) this.apply(writes);
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  async follow(node, query) {
    const starts = query.get('starts') ?? '';
    const after = Number(query.get('after'));
    const until = performance.now() + Math.min(Number(query.get('waitMs') ?? 0), 60_000);
    if (this.events.length >= HISTORY && this.events[0].stamp > after + 1)
      return { status: 410, body: { error: 'too old' } };
    for (;;) {
      const mode = this.mode.get(node);
      if (mode === 'silent') return null;
      if (mode === 'ok') {
        const news = [];
        for (let i = this.events.length - 1; i >= 0 && this.events[i].stamp > after; i--) {
          const event = this.events[i];
          if ((event.set ?? event.delete).startsWith(starts)) news.unshift(event);
        }
        if (news.length > 0 || performance.now() >= until)
          return { status: 200, body: { ledgerRev: this.revision, news } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const waitMs = mode === 'ok' ? Math.max(1, until - performance.now()) : 100;
        const timer = setTimeout(wake, waitMs);
        this.watchers.add(wake);
      });
    }
  }
}
