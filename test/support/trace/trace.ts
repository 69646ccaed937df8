import { createHash } from 'node:crypto';

interface Line {
  at: number;
  text: string;
}

/** Hexadecimal digits of a digest that the test keeps. */
const DIGITS = 16;

/**
 * All that left the controllers in one history. Each pair of a controller and
 * a receiver has a channel of its own: in which order independent receivers
 * are served at one moment does not matter.
 */
export class Trace {
  private readonly channels = new Map<string, Line[]>();

  record(from: string, to: string, at: number, text: string): void {
    const name = `${from} -> ${to}`;
    const lines = this.channels.get(name) ?? [];
    this.channels.set(name, lines);
    lines.push({ at, text });
  }

  /** The channels by name, each in the order of arrival. */
  text(): string {
    const parts: string[] = [];
    for (const name of [...this.channels.keys()].sort()) {
      const lines = this.channels.get(name) as Line[];
      lines.sort((a, b) => a.at - b.at || (a.text < b.text ? -1 : 1));
      parts.push(`== ${name}`, ...lines.map((l) => `${l.at.toFixed(3)} ${l.text}`));
    }
    return `${parts.join('\n')}\n`;
  }
}

/** By which the test knows a trace's text. */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGITS);
}
