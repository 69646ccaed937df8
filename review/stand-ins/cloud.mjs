// The cloud: machine types, and a list of machines that a scenario starts itself. It has no
// further machines to give.
import { serveJson } from './http.mjs';

export class Cloud {
  constructor(record, types) {
    this.record = record;
    this.types = types;
    this.machines = new Map();
    this.startedAt = performance.now();
    /** Called with the name of each machine that is returned. */
    this.onReturn = () => {};
  }

  async listen(port) {
    this.server = await serveJson(port, (request, body) => this.handle(request, body));
  }

  close() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  add({ id, endpoint, rig, hall, loaner }) {
    this.machines.set(id, { id, endpoint, rig, hall, loaner, standing: 'running' });
  }

  handle({ method, url }, body) {
    const { pathname, searchParams } = new URL(url, 'http://cloud');
    if (method === 'GET' && pathname === '/flavors') return { status: 200, body: { rigs: this.types } };
    if (method === 'GET' && pathname === '/machines') return this.list(searchParams);
    if (method === 'POST' && pathname === '/machines') {
      this.record.add('cloud', `hire ${JSON.stringify(body)} -> 503 no capacity`);
      return { status: 503, body: { error: 'no capacity' } };
    }
    if (method === 'POST' && pathname === '/machines/return') {
      this.record.add('cloud', `return ${JSON.stringify(body)} -> 200`);
      for (const id of body.carts ?? []) if (this.machines.delete(id)) this.onReturn(id);
      return { status: 200, body: {} };
    }
    return { status: 400, body: { error: 'malformed' } };
  }

  list(search) {
    const after = search.get('after') ?? '';
    const limit = Math.min(500, Number(search.get('limit') ?? 500));
    const ageS = (performance.now() - this.startedAt) / 1000 + 60;
    const found = [...this.machines.values()].filter(({ id }) => id > after);
    found.sort((a, b) => (a.id < b.id ? -1 : 1));
    const carts = found.slice(0, limit).map((machine) => ({ ...machine, ageS }));
    return { status: 200, body: { carts, hasNext: found.length > limit } };
  }
}
