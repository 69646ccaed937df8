/** A loopback TCP proxy that forwards, holds or resets what passes between two programs. */
import net from 'node:net';

export class Proxy {
  /** `forward`, `hold` (nothing passes; delivered afterwards) or `refuse` (reset, new ones refused). */
  mode = 'forward';
  links = new Set();

  async start(target) {
    this.target = target;
    this.server = net.createServer({ pauseOnConnect: true }, (socket) => this.accept(socket));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  accept(client) {
    client.on('error', () => {});
    if (this.mode === 'refuse') return client.resetAndDestroy();
    const link = { client, server: null };
    this.links.add(link);
    const [host, port] = this.target.split(':');
    const connect = () => {
      const server = net.connect({ host, port: Number(port) });
      link.server = server;
      server.on('error', () => client.destroy());
      const close = () => {
        this.links.delete(link);
        client.destroy();
        server.destroy();
      };
      client.on('close', close);
      server.on('close', close);
      client.on('data', (data) => server.write(data));
      server.on('data', (data) => client.write(data));
      client.on('end', () => server.end());
      server.on('end', () => client.end());
      client.resume();
    };
    if (this.mode !== 'hold') connect();
  }

  pause({ client, server }) {
    client.pause();
    server?.pause();
  }

  set(mode) {
    this.mode = mode;
    for (const link of this.links) {
      if (mode === 'refuse') {
        link.client.resetAndDestroy();
        link.server?.destroy();
      } else if (mode === 'hold') this.pause(link);
      else if (link.server === null) {
        // It came during the cut. An attempt that was given up must not complete later, so none does.
        link.client.resetAndDestroy();
        this.links.delete(link);
      } else {
        link.client.resume();
        link.server?.resume();
      }
    }
    if (mode === 'refuse') this.links.clear();
  }

  close() {
    this.server.close();
    for (const { client, server } of this.links) {
      client.destroy();
      server?.destroy();
    }
  }
}
