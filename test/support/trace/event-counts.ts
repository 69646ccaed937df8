/** Counts events by name. */
export class EventCounts {
  readonly byName = new Map<string, number>();

  add(name: string, count = 1): void {
    this.byName.set(name, (this.byName.get(name) ?? 0) + count);
  }

  /** Counts the events that appear in the text of a trace. */
  addFromTrace(text: string): void {
    for (const [name, pattern] of TRACE_PATTERNS)
      this.add(name, [...text.matchAll(pattern)].length);
  }
}

/** Events that are counted in a trace, each with the pattern that matches it in the text. */
const TRACE_PATTERNS: [name: string, pattern: RegExp][] = [
  ['start commands', /"verb":"run"/g],
  ['stop commands', /"verb":"kill"/g],
  ['forget commands', /"verb":"forget"/g],
  ['direct commands', / POST \/do /g],
  ['heartbeat responses', / 200 \{"baton"/g],
  ['redirections', / 421 \{"steward"/g],
  ['provisioning', / POST \/machines \{/g],
  ['termination', / POST \/machines\/return /g],
  ['machine list requests', / GET \/machines\?/g],
  ['terms', /"set":"term"/g],
  ['accepted submissions', / 201 \{"id"/g],
  ['repeated submissions', / 200 \{"id":"req-\d+","standing":"\w+"\}/g],
  ['rejected submissions', / 4(00|22) \{"error"/g],
  ['unavailable', / 503 Retry-After/g],
  ['jobs done', /"set":"over\/[^"]+","v":\{"state":"done"/g],
  ['jobs cancelled', /"set":"over\/[^"]+","v":\{"state":"cancelled"/g],
  ['roster writes', /"set":"roster\//g],
  ['bitmap writes', /"set":"bits\//g],
  ['dependency list pages', /"set":"upstream\//g],
  ['forwarded heartbeats', /"op":"report"/g],
  ['forwarded user requests', /"op":"user"/g],
  ['cancellation notices', /"op":"cancelled"/g],
  ['mailbox requests', /"set":"mail\/[^"]+","v":\{"kind":"ask"/g],
  ['mailbox responses', /"set":"mail\/[^"]+","v":\{"kind":"answer"/g],
  ['state service lease renewals', / POST \/grants\/\d+\/touch/g],
];
