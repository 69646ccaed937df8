import { draw } from './draw.js';
import type { PlayedNet, PlayedRequest, Service } from './net.js';
import type { Notes } from './notes.js';

interface Row {
  path: string;
  v: unknown;
  stamp: number;
  ticket: number | null;
}

interface News {
  path: string;
  news: { set?: string; v?: unknown; delete?: string; stamp: number };
}

interface Write {
  set?: string;
  v?: unknown;
  ticket?: number;
  delete?: string;
}

interface Transaction {
  when: { path: string; stamp: number }[];
  writes: Write[];
}

type Respond = Parameters<Service>[1];

/** What goes wrong for one controller: parts of its requests. */
export interface StateTrouble {
  /** The status with which all requests are refused. */
  refusal: number | null;
  /** Carried out, and the answer lost. */
  lostAnswers: number;
  /** Transactions carried out some seconds later, without an answer. */
  late: number;
}

/** What the service takes; larger transactions are rejected, faster ones refused. */
export interface StateLimits {
  valueBytes: number;
  writes: number;
  writesPerS: number;
}

const NO_TROUBLE: StateTrouble = { refusal: null, lostAnswers: 0, late: 0 };
/** Rows in a page of a list. */
const PAGE_ROWS = 20;

/** The state service in the wire's words: versions, leases, watches, and faults by script. */
export class PlayedState {
  readonly rows = new Map<string, Row>();
  readonly troubles = new Map<string, StateTrouble>();
  limits: StateLimits | null = null;
  /** Watches from before this are told that they are too old. */
  private oldest = 0;
  private revision = 1;
  private news: News[] = [];
  private readonly leases = new Map<number, { lifeMs: number; ends: number }>();
  private lastLease = 0;
  private waiting: (() => void)[] = [];
  private outage = false;
  /** The writes of the second that runs. */
  private second = 0;
  private written = 0;

  constructor(
    private readonly net: PlayedNet,
    private readonly seed: string,
    private readonly notes: Notes,
  ) {
    net.serve('state', 1, (request, respond) => this.handle(request, respond));
  }

  /** Nobody is served; afterwards all leases have their full time again. */
  setOutage(on: boolean): void {
    const now = this.net.time.now();
    if (this.outage && !on) for (const l of this.leases.values()) l.ends = now + l.lifeMs;
    this.outage = on;
  }

  /** From now on every watch that stands is too old. */
  compact(): void {
    this.oldest = ++this.revision;
    for (const wake of this.waiting.splice(0)) wake();
  }

  private handle(request: PlayedRequest, respond: Respond): void {
    const trouble = this.troubles.get(request.from) ?? NO_TROUBLE;
    const { time } = this.net;
    const refusal = this.outage ? 503 : trouble.refusal;
    if (refusal !== null) {
      this.refuse(refusal, respond);
      return;
    }
    this.expire();
    const luck = draw(this.seed, 'state', request.from, time.now(), JSON.stringify(request.body));
    const writes = request.target === '/multi';
    if (writes && luck < trouble.late) {
      this.notes.add('late transactions');
      time.later(3000 + luck * 20_000, () => this.serve(request, () => {}));
      return;
    }
    const lost = luck > 1 - trouble.lostAnswers;
    if (lost) this.notes.add('lost answers of the state service');
    this.serve(request, lost ? () => {} : respond);
  }

  private refuse(status: number, respond: Respond): void {
    this.notes.add(`state service: ${status}`);
    respond(status, {});
  }

  private serve(request: PlayedRequest, respond: Respond): void {
    const { method, body } = request;
    const url = new URL(request.target, 'http://state');
    const [, kind = '', ...rest] = url.pathname.split('/');
    const query = (name: string) => url.searchParams.get(name) ?? '';
    if (kind === 'multi') {
      this.transact(body as Transaction, respond);
      return;
    }
    if (kind === 'follow') {
      this.watch(query('starts'), Number(query('after')), Number(query('waitMs')), respond);
      return;
    }
    if (kind === 'store' && rest.length > 0) {
      this.read(rest.map(decodeURIComponent).join('/'), respond);
      return;
    }
    if (kind === 'store') {
      this.list(query('starts'), query('after'), Number(query('limit')), respond);
      return;
    }
    const lease = Number(rest[0]);
    if (kind !== 'grants') {
      respond(404, {});
      return;
    }
    if (rest.length === 0) {
      this.grant((body as { lifeMs: number }).lifeMs, respond);
      return;
    }
    if (method === 'DELETE') this.end(lease);
    else if (!this.touch(lease)) {
      respond(404, {});
      return;
    }
    respond(200, {});
  }

  private read(path: string, respond: Respond): void {
    const row = this.rows.get(path);
    if (row) respond(200, { path, v: row.v, stamp: row.stamp });
    else respond(404, {});
  }

  private list(starts: string, after: string, limit: number, respond: Respond): void {
    const all = [...this.rows.values()]
      .filter((r) => r.path.startsWith(starts) && r.path > after)
      .sort((a, b) => (a.path < b.path ? -1 : 1));
    const most = Math.min(limit, PAGE_ROWS);
    const rows = all.slice(0, most).map(({ path, v, stamp }) => ({ path, v, stamp }));
    respond(200, { rows, hasNext: all.length > most, ledgerRev: this.revision });
  }

  private transact({ when, writes }: Transaction, respond: Respond): void {
    this.expire();
    if (writes.some((w) => w.ticket !== undefined && !this.leases.has(w.ticket))) {
      respond(400, { error: 'no such ticket' });
      return;
    }
    if (this.isTooLarge(when, writes)) {
      this.refuse(400, respond);
      return;
    }
    if (this.isTooFast(writes)) {
      this.refuse(429, respond);
      return;
    }
    const failed = when
      .filter((c) => (this.rows.get(c.path)?.stamp ?? 0) !== c.stamp)
      .map((c) => c.path);
    if (failed.length > 0) {
      this.notes.add('transactions in conflict');
      respond(409, { ledgerRev: this.revision, failed });
      return;
    }
    this.write(writes);
    respond(200, { ledgerRev: this.revision });
  }

  private isTooLarge(when: unknown[], writes: Write[]): boolean {
    if (!this.limits) return false;
    const { valueBytes, writes: most } = this.limits;
    const large = writes.some((w) => Buffer.byteLength(JSON.stringify(w.v ?? null)) > valueBytes);
    return large || writes.length > most || when.length > most * 4;
  }

  private isTooFast(writes: Write[]): boolean {
    const second = Math.floor(this.net.time.now() / 1000);
    if (second !== this.second) this.written = 0;
    this.second = second;
    this.written += writes.length;
    return this.limits !== null && this.written > this.limits.writesPerS;
  }

  private write(writes: Write[]): void {
    const stamp = ++this.revision;
    for (const w of writes) {
      const path = w.set ?? w.delete ?? '';
      if (w.set === undefined) this.rows.delete(path);
      else this.rows.set(path, { path, v: w.v, stamp, ticket: w.ticket ?? null });
      this.news.push({
        path,
        news: w.set === undefined ? { delete: path, stamp } : { set: path, v: w.v, stamp },
      });
    }
    for (const wake of this.waiting.splice(0)) wake();
  }

  private watch(starts: string, after: number, waitMs: number, respond: Respond): void {
    const until = this.net.time.now() + waitMs;
    const look = () => {
      if (answered) return;
      const news = this.since(starts, after);
      const over = this.net.time.now() >= until - 0.001;
      const old = after < this.oldest;
      if (news.length === 0 && !over && !old) {
        this.waiting.push(look);
        return;
      }
      answered = true;
      timer.run = null;
      if (old) this.refuse(410, respond);
      else respond(200, { news: news.map((n) => n.news), ledgerRev: this.revision });
    };
    let answered = false;
    const timer = this.net.time.later(waitMs, look);
    look();
  }

  private since(starts: string, after: number): News[] {
    let from = this.news.length;
    while (from > 0 && (this.news[from - 1] as News).news.stamp > after) from--;
    return this.news.slice(from).filter((n) => n.path.startsWith(starts));
  }

  private grant(lifeMs: number, respond: Respond): void {
    this.leases.set(++this.lastLease, { lifeMs, ends: this.net.time.now() + lifeMs });
    this.net.time.later(lifeMs + 1, () => this.expire());
    respond(200, { ticket: this.lastLease });
  }

  private touch(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.ends = this.net.time.now() + lease.lifeMs;
    this.net.time.later(lease.lifeMs + 1, () => this.expire());
    return true;
  }

  private expire(): void {
    if (this.outage) return;
    const now = this.net.time.now();
    for (const [id, l] of this.leases) if (l.ends <= now) this.end(id);
  }

  private end(id: number): void {
    if (!this.leases.delete(id)) return;
    const ended = [...this.rows.values()].filter((r) => r.ticket === id);
    if (ended.length > 0) this.write(ended.map((r) => ({ delete: r.path })));
  }
}
