/** A stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud"). Its machines are workers of worker.mjs. */
import { serveJson } from './http.mjs';
import { Worker } from './worker.mjs';

function standingOf({ worker, diedAt }, now) {
  if (!worker) return 'booting';
  return diedAt !== undefined && now - diedAt > LISTED_AFTER_DEATH_MS ? 'failed' : 'running';
}

/** The name of a pool of equal machines: their type, zone and kind. */
export function poolOf({ rig, hall, loaner }) {
  return `${rig} ${hall} ${loaner ? 'spot' : 'ordinary'}`;
}

/** "When a machine dies, it is listed as `running` for about 30 s more." */
const LISTED_AFTER_DEATH_MS = 30_000;

export class Cloud {
  workers = [];
  machines = new Map();
  hires = new Map();
  history = [];
  lastNumber = 0;

  /** `types`: flavors as sent; `capacity`: machines that exist, by `poolOf` of type, zone and kind. */
  constructor({ types, settings, record, workerOptions, capacity }) {
    Object.assign(this, { types, settings, record, workerOptions, capacity });
  }

  free(pool) {
    const taken = [...this.machines.values()].filter((machine) => poolOf(machine) === pool);
    return Math.max(0, (this.capacity[pool] ?? 0) - taken.length);
  }

  async start() {
    this.server = await serveJson((method, path, query, body) =>
      this.handle(method, path, query, body),
    );
    this.snapshot();
    this.timer = setInterval(() => this.snapshot(), 200);
  }

  get address() {
    return this.server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const machine of this.machines.values()) clearTimeout(machine.bootTimer);
    for (const worker of this.workers) worker.close();
    this.server.close();
  }

  /** The list shows what was the case `list_lag_s` ago. */
  snapshot() {
    const now = performance.now();
    const carts = [...this.machines.values()].map((machine) => ({
      id: machine.id,
      endpoint: machine.worker?.endpoint ?? '',
      rig: machine.rig,
      hall: machine.hall,
      loaner: machine.loaner,
      standing: standingOf(machine, now),
      ageS: (now - machine.rentedAt) / 1000,
    }));
    this.history.push({ at: now, carts });
    while (this.history.length > 1 && this.history[1].at <= now - this.settings.list_lag_s * 1000)
      this.history.shift();
  }

  async handle(method, path, query, body) {
    if (path === '/flavors') return { status: 200, body: { rigs: this.types } };
    if (path === '/machines/return' && method === 'POST') {
      for (const id of body.carts) this.remove(id, 'returned');
      return { status: 200, body: {} };
    }
    if (path === '/machines' && method === 'POST') return this.rent(body);
    if (path === '/machines') {
      const after = query.get('after') ?? '';
      const limit = Math.min(Number(query.get('limit') ?? 500), 500);
      const all = this.history[0].carts.filter(({ id }) => id > after);
      return { status: 200, body: { carts: all.slice(0, limit), hasNext: all.length > limit } };
    }
    return { status: 400, body: { error: 'malformed' } };
  }

  rent({ hire, rig, hall, loaner, count }) {
    const known = this.hires.get(hire);
    if (known) return { status: 200, body: { carts: known } };
    const type = this.types.find(({ sku }) => sku === rig);
    if (!type || !type.halls.includes(hall)) return { status: 400, body: { error: 'malformed' } };
    const free = this.free(poolOf({ rig, hall, loaner }));
    if (free === 0) this.record?.line('cloud', `no capacity: ${rig} in ${hall}, loaner ${loaner}`);
    if (free === 0) return { status: 503, body: { error: 'no capacity' } };
    const carts = [];
    for (let i = 0; i < Math.min(count, free); i++)
      carts.push(this.add({ rig, hall, loaner }, type.readyS * 1000));
    this.hires.set(hire, carts);
    this.record?.line('cloud', `rented ${carts.join(', ')}: ${rig} in ${hall}, loaner ${loaner}`);
    return { status: 200, body: { carts } };
  }

  /** Adds a machine that is up after `bootMs`; returns its name. */
  add({ rig, hall, loaner }, bootMs) {
    const id = `n-${String(++this.lastNumber).padStart(6, '0')}`;
    const type = this.types.find(({ sku }) => sku === rig);
    const machine = { id, rig, hall, loaner, type, rentedAt: performance.now(), worker: null };
    this.machines.set(id, machine);
    machine.bootTimer = setTimeout(async () => {
      const worker = new Worker({ machine, ...this.workerOptions });
      await worker.start();
      this.workers.push(worker);
      if (!this.machines.has(id)) return worker.powerOff();
      machine.worker = worker;
      this.record?.line('cloud', `${id} is up (${rig}, ${hall})`);
      this.onUp?.(machine);
    }, bootMs);
    return id;
  }

  /** The machine stops with all that is on it; it stays listed until it is deleted. */
  die(id) {
    const machine = this.machines.get(id);
    machine.diedAt = performance.now();
    machine.worker.powerOff();
    this.record?.line('cloud', `${id} has stopped with all that is on it`);
  }

  remove(id, how) {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    clearTimeout(machine.bootTimer);
    machine.worker?.powerOff();
    this.record?.line('cloud', `${id} is gone: ${how}`);
  }
}
